package simulation

import "time"

// link is one direction between two hosts.
type link struct{ from, to string }

// network loses, delays, duplicates and reorders messages, and cuts links.
type network struct {
	world *world
	// cuts counts the faults that make a link lose everything.
	cuts map[link]int
	// loss, duplication and slowness are shares of the messages.
	loss        float64
	duplication float64
	slowness    float64
}

// Times of a message under way. Differing delays reorder messages.
const (
	shortestDelay = 500 * time.Microsecond
	delaySpread   = 3 * time.Millisecond
	slowDelay     = 1500 * time.Millisecond
)

// send carries a message; what it does at the receiver may happen never, once or twice.
func (n *network) send(from, to *host, deliver func()) {
	if n.cuts[link{from.name, to.name}] > 0 || n.world.random.Float64() < n.loss {
		return
	}
	n.carry(to, deliver)
	if n.world.random.Float64() < n.duplication {
		n.carry(to, deliver)
	}
}

// carry delivers one copy after a random delay.
func (n *network) carry(to *host, deliver func()) {
	delay := shortestDelay + n.world.drawDuration(delaySpread)
	if n.world.random.Float64() < n.slowness {
		delay += n.world.drawDuration(slowDelay)
	}
	n.world.after(delay, func() { to.runOrDefer(deliver) })
}

// call carries a request and its answer. handle gets a function that sends the
// answer; done is called once at the caller, with answered false when the time-out
// passed first.
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
