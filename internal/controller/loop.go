package controller

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

const (
	// inputQueue bounds the inputs that wait for the Core; a caller whose input does
	// not fit waits until its deadline.
	inputQueue = 1024
	// peerQueue bounds the messages of other controllers that wait for the Core; the
	// handler refuses what does not fit, and the sender repeats or replaces it.
	peerQueue = 1024
	// unwrittenBatches is the number of batches that may wait for the storage before
	// the loop takes no further input.
	unwrittenBatches = 4096
)

// decider is what the loop drives: control.Core, or a stand-in in tests.
type decider interface {
	Step(now time.Duration, input control.Input) []control.Output
}

// loop owns the Core. Every other goroutine talks to it through its channels.
type loop struct {
	core decider
	// now returns the monotonic time since the process's origin.
	now func() time.Duration
	// timeOfDay reads this machine's clock, in milliseconds since the start of 1970.
	timeOfDay func() int64
	// peerMessages go before inputs, so that a burst of calls delays no heartbeat.
	peerMessages chan control.Input
	inputs       chan control.Input
	// inspections run on the loop between two steps.
	inspections chan func()
	// persist hands batches to the storage, all that wait at once.
	persist chan []control.Persist
	// persisted returns the number of the newest synced batch.
	persisted chan uint64
	// carryOut performs every output other than Persist; it must not block.
	carryOut func(control.Output)
	// observe is told how long each step took.
	observe func(input control.Input, took time.Duration)

	unwritten []control.Persist
	// lost are inputs that stand for exchanges which could not be started.
	lost []control.Input
}

func newLoop(core decider, now func() time.Duration) *loop {
	return &loop{
		core:         core,
		now:          now,
		timeOfDay:    timeOfDay,
		peerMessages: make(chan control.Input, peerQueue),
		inputs:       make(chan control.Input, inputQueue),
		inspections:  make(chan func()),
		persist:      make(chan []control.Persist),
		persisted:    make(chan uint64),
		carryOut:     func(control.Output) {},
		observe:      func(control.Input, time.Duration) {},
	}
}

// run steps the Core until the context ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	l.tick() // a quorum that was stopped as a whole need not wait for the ticker
	for ctx.Err() == nil {
		if l.takeUrgent(ticker) || l.takeLost() {
			continue
		}
		l.takeAny(ctx, ticker)
	}
}

// takeUrgent handles one thing that must not wait behind calls. It never blocks.
func (l *loop) takeUrgent(ticker *time.Ticker) bool {
	select {
	case <-ticker.C:
		l.tick()
	case message := <-l.peerMessages:
		l.step(message)
	case batch := <-l.persisted:
		l.step(control.Persisted{Batch: batch})
	default:
		return false
	}
	return true
}

// takeLost handles one exchange that could not be started.
func (l *loop) takeLost() bool {
	if len(l.lost) == 0 {
		return false
	}
	input := l.lost[0]
	l.lost = l.lost[1:]
	l.step(input)
	return true
}

// takeAny waits for the next thing to do.
func (l *loop) takeAny(ctx context.Context, ticker *time.Ticker) {
	persist, inputs := l.persist, l.inputs
	if len(l.unwritten) == 0 {
		persist = nil
	}
	if len(l.unwritten) >= unwrittenBatches {
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
	case persist <- l.unwritten:
		l.unwritten = nil
	case input := <-inputs:
		l.step(input)
	case inspect := <-l.inspections:
		inspect()
	}
}

func (l *loop) tick() { l.step(control.Tick{TimeOfDayMs: l.timeOfDay()}) }

func (l *loop) step(input control.Input) {
	started := l.now()
	for _, output := range l.core.Step(started, input) {
		if persist, isPersist := output.(control.Persist); isPersist {
			l.unwritten = append(l.unwritten, persist)
			continue
		}
		l.carryOut(output)
	}
	l.observe(input, l.now()-started)
}

// addLost queues an input that stands for an exchange which could not be started.
// It is called by carryOut only.
func (l *loop) addLost(input control.Input) {
	l.lost = append(l.lost, input)
}

// send hands an input to the loop; it waits while the queue is full.
func (l *loop) send(ctx context.Context, input control.Input) error {
	select {
	case l.inputs <- input:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendPeerMessage hands over a peer's message and reports false when the queue is full.
func (l *loop) sendPeerMessage(input control.PeerMessage) bool {
	select {
	case l.peerMessages <- input:
		return true
	default:
		return false
	}
}

// inspect runs the function between two steps and waits for its end.
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
