package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// housekeepingInterval is the longest time between two rounds of the driver: load is sampled and
// expired entries are dropped at least this often.
const housekeepingInterval = 100 * time.Millisecond

// drive advances the model and the orders until the process ends.
func (p *process) drive() {
	defer close(p.driverDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		p.lockThawed()
		if p.dead {
			p.mutex.Unlock()
			return
		}
		p.advance()
		pause := p.nextWait()
		p.mutex.Unlock()
		timer.Reset(pause)
	}
}

// nextWait returns the time until the next event. The caller holds the mutex.
func (p *process) nextWait() time.Duration {
	now := p.now()
	next := now + housekeepingInterval
	if at, found := p.model.NextEvent(); found {
		next = min(next, at)
	}
	if at, found := p.machine.NextEvent(); found {
		next = min(next, at)
	}
	return max(next-now, 0)
}

// advance moves the engine model, the caches and the orders to the current time. The caller holds the mutex.
func (p *process) advance() {
	if p.thaw != nil || p.dead {
		return
	}
	now := p.now()
	for _, event := range p.model.Advance(now) {
		p.applyModelEvent(now, event)
	}
	p.cache.add(now, p.model.TakeCacheEvents(), p.cacheEventGap())
	p.prune(now)
	p.loads.sample(now, p.loadReport())
	p.machine.Advance(now, p.inFlight())
	p.applyOrderProgress(now)
}

func (p *process) cacheEventGap() int {
	if gap, found := p.engine.faults.Peek(fault.CacheEventGap); found {
		return gap.Tokens
	}
	return 0
}

// applyModelEvent records an event of the engine model at the exchange that the event belongs to and wakes the reader
// of this exchange.
func (p *process) applyModelEvent(now time.Duration, event enginemodel.Event) {
	affected := p.exchanges[event.ID]
	if affected == nil || affected.isOver() {
		return
	}
	affected.decodedTokens = event.OutputTokens
	affected.cachedTokens = max(affected.cachedTokens, event.CachedTokens)
	switch event.Type {
	case enginemodel.EventStarted:
		affected.started = true
		p.engine.runs.count(affected.prompt, func(run *Run, totals *Totals) {
			if affected.phase != enginemodel.PhasePrefillOnly {
				run.Started++
				totals.Started++
			}
		})
	case enginemodel.EventDone, enginemodel.EventPrefillDone:
		affected.finished = true
		affected.endedAt = now
		p.openExchanges--
		p.engine.runs.count(affected.prompt, func(run *Run, totals *Totals) {
			if affected.phase == enginemodel.PhasePrefillOnly {
				run.Prefilled++
				totals.Prefilled++
				return
			}
			run.Finished++
			totals.Finished++
		})
	}
	affected.signal()
}

// prune drops expired exchanges and KV cache handles, and cancels exchanges that have had no reader for ResumeWindow.
func (p *process) prune(now time.Duration) {
	if now-p.lastPruned < housekeepingInterval {
		return
	}
	p.lastPruned = now
	for id, each := range p.exchanges {
		switch {
		case each.isOver():
			if now-each.endedAt > FinishedRetention && each.reader == nil {
				delete(p.exchanges, id)
			}
		case each.reader == nil && now-each.unreadSince > ResumeWindow:
			p.cancelExchange(now, each)
		}
	}
	for name, handle := range p.handles {
		if now > handle.expires {
			delete(p.handles, name)
		}
	}
}

func (p *process) cancelExchange(now time.Duration, target *exchange) {
	p.model.Cancel(now, target.id)
	target.cancelled = true
	p.openExchanges--
	target.endedAt = now
	p.engine.runs.count(target.prompt, func(_ *Run, totals *Totals) { totals.Cancelled++ })
	target.signal()
}

// applyOrderProgress applies a change of the order's phase or of the engine's role to the engine model.
func (p *process) applyOrderProgress(now time.Duration) {
	state := p.machine.State(0)
	before := p.phase
	p.phase = state.OrderPhase
	if p.phase == enginecontract.PhaseChanging && before != enginecontract.PhaseChanging {
		p.beginChange()
	}
	if state.Role != p.model.Role() {
		p.cancelForChange(now)
		if err := p.model.SetRole(now, state.Role); err == nil {
			p.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.RoleChanges++ })
		}
	}
}

// cancelForChange cancels the exchanges that are in flight when the role changes. After a
// drain there are none; only with the safeguard DrainFirst disabled can there be any.
func (p *process) cancelForChange(now time.Duration) {
	for _, each := range p.exchanges {
		if !each.isOver() {
			p.engine.runs.count(each.prompt, func(_ *Run, totals *Totals) { totals.CutByChange++ })
			p.cancelExchange(now, each)
		}
	}
}

func (p *process) beginChange() {
	if crash, strikes := p.strikeFault(fault.CrashInChange); strikes {
		go p.engine.crashFor(crash.Delay())
		return
	}
	if order, waits := p.machine.PendingWeightLoad(); waits {
		go p.fetchWeights(order)
	}
}
