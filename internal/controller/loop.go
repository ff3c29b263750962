package controller

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

const (
	// inputQueueSize limits the inputs that wait for the Core; a caller that finds the
	// queue full waits until its deadline.
	inputQueueSize = 1024
	// peerQueueSize limits the messages of other controllers that wait for the Core; the
	// handler refuses further messages, and the sender resends or replaces them.
	peerQueueSize = 1024
	// maxUnwrittenBatches limits the batches that wait for the storage; at the limit
	// the loop accepts no further inputs.
	maxUnwrittenBatches = 4096
)

// stepper is the state machine that the loop drives: control.Core, or a fake in tests.
type stepper interface {
	Step(now time.Duration, input control.Input) []control.Output
}

// loop owns the Core. Other goroutines communicate with it through its channels.
type loop struct {
	core stepper
	// now returns the monotonic time since the process started.
	now func() time.Duration
	// timeOfDay returns the time of this machine's clock in Unix milliseconds.
	timeOfDay func() int64
	// peerMessages are processed before inputs, so that a burst of calls does not delay heartbeats.
	peerMessages chan control.Input
	inputs       chan control.Input
	// inspections are functions that the loop runs between two steps.
	inspections chan func()
	// persist passes batches to the storage, all waiting ones at once.
	persist chan []control.Persist
	// persisted receives the number of the newest synced batch.
	persisted chan uint64
	// execute performs an output other than Persist; it must not block.
	execute func(control.Output)
	// observe receives the duration of each step.
	observe func(input control.Input, took time.Duration)

	unwritten []control.Persist
	// lostInputs report exchanges that could not be started.
	lostInputs []control.Input
}

func newLoop(core stepper, now func() time.Duration) *loop {
	return &loop{
		core:         core,
		now:          now,
		timeOfDay:    timeOfDay,
		peerMessages: make(chan control.Input, peerQueueSize),
		inputs:       make(chan control.Input, inputQueueSize),
		inspections:  make(chan func()),
		persist:      make(chan []control.Persist),
		persisted:    make(chan uint64),
		execute:      func(control.Output) {},
		observe:      func(control.Input, time.Duration) {},
	}
}

// run steps the Core until the context ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	l.tick() // if all voters were stopped together, a leader can be elected without waiting for the ticker
	for ctx.Err() == nil {
		if l.handleUrgent(ticker) || l.handleLostInput() {
			continue
		}
		l.awaitNext(ctx, ticker)
	}
}

// handleUrgent handles one event that takes precedence over calls, if there is one: votes and acknowledgements wait for the
// storage, so that a waiting batch is one, too. It never blocks.
func (l *loop) handleUrgent(ticker *time.Ticker) bool {
	select {
	case <-ticker.C:
		l.tick()
	case message := <-l.peerMessages:
		l.step(message)
	case batch := <-l.persisted:
		l.step(control.Persisted{Batch: batch})
	case l.storage() <- l.unwritten:
		l.unwritten = nil
	default:
		return false
	}
	return true
}

// handleLostInput handles one exchange that could not be started, if there is one.
func (l *loop) handleLostInput() bool {
	if len(l.lostInputs) == 0 {
		return false
	}
	input := l.lostInputs[0]
	l.lostInputs = l.lostInputs[1:]
	l.step(input)
	return true
}

// awaitNext waits for the next event and handles it.
func (l *loop) awaitNext(ctx context.Context, ticker *time.Ticker) {
	inputs := l.inputs
	if len(l.unwritten) >= maxUnwrittenBatches {
		inputs = nil
	}
	select {
	case <-ctx.Done():
	case <-ticker.C:
		l.tick()
	case message := <-l.peerMessages:
		l.step(message)
	case batch := <-l.persisted:
		l.step(control.Persisted{Batch: batch})
	case l.storage() <- l.unwritten:
		l.unwritten = nil
	case input := <-inputs:
		l.step(input)
	case inspect := <-l.inspections:
		inspect()
	}
}

// storage returns the channel that passes batches to the storage, or nil if none waits.
func (l *loop) storage() chan<- []control.Persist {
	if len(l.unwritten) == 0 {
		return nil
	}
	return l.persist
}

func (l *loop) tick() { l.step(control.Tick{TimeOfDayMs: l.timeOfDay()}) }

func (l *loop) step(input control.Input) {
	started := l.now()
	for _, output := range l.core.Step(started, input) {
		if persist, isPersist := output.(control.Persist); isPersist {
			l.unwritten = append(l.unwritten, persist)
			continue
		}
		l.execute(output)
	}
	l.observe(input, l.now()-started)
}

// queueLostInput queues an input that reports an exchange that could not be started.
// Only execute may call it.
func (l *loop) queueLostInput(input control.Input) {
	l.lostInputs = append(l.lostInputs, input)
}

// send passes an input to the loop; it blocks while the queue is full.
func (l *loop) send(ctx context.Context, input control.Input) error {
	select {
	case l.inputs <- input:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendPeerMessage passes a peer's message to the loop; it reports false when the queue is full.
func (l *loop) sendPeerMessage(input control.PeerMessage) bool {
	select {
	case l.peerMessages <- input:
		return true
	default:
		return false
	}
}

// inspect runs the function on the loop between two steps and waits until it returns.
func (l *loop) inspect(ctx context.Context, function func()) error {
	done := make(chan struct{})
	select {
	case l.inspections <- func() { function(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}
