package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// housekeeping is the longest the driver sleeps: load is sampled and what is kept
// too long is dropped at least this often.
const housekeeping = 100 * time.Millisecond

// drive moves the model and the orders on until the life ends.
func (l *life) drive() {
	defer close(l.driven)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		l.lockThawed()
		if l.dead {
			l.mutex.Unlock()
			return
		}
		l.advance()
		pause := l.pause()
		l.mutex.Unlock()
		timer.Reset(pause)
	}
}

// pause is the time to the next thing to do. The mutex is held.
func (l *life) pause() time.Duration {
	now := l.now()
	next := now + housekeeping
	if at, found := l.model.NextEvent(); found {
		next = min(next, at)
	}
	if at, found := l.machine.NextEvent(); found {
		next = min(next, at)
	}
	return max(next-now, 0)
}

// advance brings everything up to now. The mutex is held.
func (l *life) advance() {
	if l.thaw != nil || l.dead {
		return
	}
	now := l.now()
	for _, event := range l.model.Advance(now) {
		l.apply(now, event)
	}
	l.cache.add(now, l.model.TakeCacheEvents(), l.gap())
	l.forget(now)
	l.loads.sample(now, l.loadReport())
	l.machine.Advance(now, l.inFlight())
	l.followOrder(now)
}

func (l *life) gap() int {
	if present, found := l.engine.faults.Peek(fault.CacheEventGap); found {
		return present.Tokens
	}
	return 0
}

// apply records one event of the model at its exchange and wakes the reader.
func (l *life) apply(now time.Duration, event enginemodel.Event) {
	about := l.exchanges[event.ID]
	if about == nil || about.over() {
		return
	}
	about.written = event.OutputTokens
	about.cached = max(about.cached, event.CachedTokens)
	switch event.Type {
	case enginemodel.EventStarted:
		about.started = true
		l.engine.runs.count(about.prompt, func(run *Run, totals *Totals) {
			if about.phase != enginemodel.PhasePrefillOnly {
				run.Started++
				totals.Started++
			}
		})
	case enginemodel.EventDone, enginemodel.EventPrefillDone:
		about.ended = true
		about.endedAt = now
		l.open--
		l.engine.runs.count(about.prompt, func(run *Run, totals *Totals) {
			if about.phase == enginemodel.PhasePrefillOnly {
				run.Prefilled++
				totals.Prefilled++
				return
			}
			run.Finished++
			totals.Finished++
		})
	}
	about.signal()
}

// forget drops what has been kept long enough and cancels what nobody reads.
func (l *life) forget(now time.Duration) {
	if now-l.tidied < housekeeping {
		return
	}
	l.tidied = now
	for id, kept := range l.exchanges {
		switch {
		case kept.over():
			if now-kept.endedAt > FinishedRetention && kept.reader == nil {
				delete(l.exchanges, id)
			}
		case kept.reader == nil && now-kept.alone > ResumeWindow:
			l.cancelExchange(now, kept)
		}
	}
	for name, handle := range l.handles {
		if now > handle.expires {
			delete(l.handles, name)
		}
	}
}

func (l *life) cancelExchange(now time.Duration, gone *exchange) {
	l.model.Cancel(now, gone.id)
	gone.cancelled = true
	l.open--
	gone.endedAt = now
	l.engine.runs.count(gone.prompt, func(_ *Run, totals *Totals) { totals.Cancelled++ })
	gone.signal()
}

// followOrder carries the order's progress over to the model.
func (l *life) followOrder(now time.Duration) {
	state := l.machine.State(0)
	before := l.phase
	l.phase = state.OrderPhase
	if l.phase == enginecontract.PhaseChanging && before != enginecontract.PhaseChanging {
		l.beginChange()
	}
	if state.Role != l.model.Role() {
		l.cutForChange(now)
		if err := l.model.SetRole(now, state.Role); err == nil {
			l.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.RoleChanges++ })
		}
	}
}

// cutForChange ends what a change met in flight. A drain lets it find nothing; only
// with the drain's safeguard off does it have work.
func (l *life) cutForChange(now time.Duration) {
	for _, present := range l.exchanges {
		if !present.over() {
			l.engine.runs.count(present.prompt, func(_ *Run, totals *Totals) { totals.CutByChange++ })
			l.cancelExchange(now, present)
		}
	}
}

func (l *life) beginChange() {
	if crash, strikes := l.takeFault(fault.CrashInChange); strikes {
		go l.engine.crashFor(crash.Delay())
		return
	}
	if order, waits := l.machine.PendingWeightLoad(); waits {
		go l.fetchWeights(order)
	}
}
