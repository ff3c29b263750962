package simulation

import "time"

// link is the connection from one host to another, in one direction.
type link struct{ from, to string }

// network delivers messages; it loses, delays, duplicates and reorders them, and can cut links.
type network struct {
	world *world
	// cuts counts, by link, the faults under way that drop all messages of the link.
	cuts map[link]int
	// loss, duplication and slowness are the shares of messages that are lost, duplicated and delayed.
	loss        float64
	duplication float64
	slowness    float64
}

// Delays of a message. Different delays reorder messages.
const (
	shortestDelay = 500 * time.Microsecond
	delaySpread   = 3 * time.Millisecond
	slowDelay     = 1500 * time.Millisecond
)

// send sends a message; deliver is run at the receiver never, once or twice.
func (n *network) send(from, to *host, deliver func()) {
	if n.cuts[link{from.name, to.name}] > 0 || n.world.random.Float64() < n.loss {
		return
	}
	n.carry(to, deliver)
	if n.world.random.Float64() < n.duplication {
		n.carry(to, deliver)
	}
}

// carry delivers one copy of a message after a drawn delay.
func (n *network) carry(to *host, deliver func()) {
	delay := shortestDelay + n.world.drawDuration(delaySpread)
	if n.world.random.Float64() < n.slowness {
		delay += n.world.drawDuration(slowDelay)
	}
	n.world.after(delay, func() { to.runOrDefer(deliver) })
}

// call sends a request and its response. handle runs at the receiver and gets a function that sends the response. done
// runs once at the caller; answered is false when the timeout passed before a response came.
func call[Answer any](n *network, from, to *host, timeout time.Duration,
	handle func(reply func(Answer)), done func(answer Answer, answered bool)) {
	finished := false
	finish := func(answer Answer, answered bool) {
		if !finished {
			finished = true
			done(answer, answered)
		}
	}
	generation := from.generation
	n.send(from, to, func() {
		handle(func(answer Answer) {
			n.send(to, from, from.guardGeneration(generation, func() { finish(answer, true) }))
		})
	})
	from.after(timeout, func() {
		var none Answer
		finish(none, false)
	})
}
