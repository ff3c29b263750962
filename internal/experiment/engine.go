package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// engine is one engine of the fleet: the engine model, the engine's process and role, and its load reports.
type engine struct {
	world    *world
	declared scenario.Engine
	profile  enginemodel.Profile
	model    *enginemodel.Engine
	state    enginecontract.ServiceState
	role     enginecontract.Role
	// roleSince is the time at which the engine got its role.
	roleSince   time.Duration
	incarnation uint64
	// target is the role that the current order changes the engine to; empty without an order.
	target enginecontract.Role
	// order is the number of the last order; a crash increases it, so that the pending steps of an
	// earlier order are dropped.
	order int
	// isUp is false while the engine's process is down.
	isUp bool
	// paused is true while the process is suspended.
	paused   bool
	pausedAt time.Duration
	// clockOffset is how far the engine's clock is behind the run's: the time spent suspended, and
	// after a restart the time before it.
	clockOffset time.Duration

	attempts map[string]*attempt
	// readings are load readings, oldest first; no new ones are added while reportsFrozen is true.
	readings      []loadReading
	reportsFrozen bool
}

// loadReading is an engine's load and state at one time.
type loadReading struct {
	at    time.Duration
	load  enginemodel.Load
	state enginecontract.ServiceState
	role  enginecontract.Role
}

func newEngine(w *world, declared scenario.Engine, profile enginemodel.Profile) (*engine, error) {
	created := &engine{
		world: w, declared: declared, profile: profile, state: enginecontract.StateServing, role: declared.Role,
		incarnation: 1, isUp: true, attempts: map[string]*attempt{},
	}
	model, err := enginemodel.New(profile, declared.Role)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	created.model = model
	return created, nil
}

// localTime converts a time to the engine's clock, which does not advance while it is suspended.
func (e *engine) localTime(now time.Duration) time.Duration {
	if e.paused {
		return e.pausedAt - e.clockOffset
	}
	return now - e.clockOffset
}

func (e *engine) nextEvent() (time.Duration, bool) {
	if !e.isUp || e.paused {
		return 0, false
	}
	at, busy := e.model.NextEvent()
	return at + e.clockOffset, busy
}

// advance runs the engine model up to now and dispatches its events.
func (e *engine) advance(now time.Duration) {
	if at, busy := e.nextEvent(); !busy || at > now {
		return
	}
	for _, event := range e.model.Advance(e.localTime(now)) {
		if current, found := e.attempts[event.ID]; found {
			e.dispatchEvent(current, event)
		}
	}
	e.finishDrain()
}

func (e *engine) dispatchEvent(current *attempt, event enginemodel.Event) {
	delay := e.world.latency(e.declared.Zone, current.gateway.zone)
	switch event.Type {
	case enginemodel.EventFirstToken:
		current.cachedTokens = max(current.cachedTokens, event.CachedTokens)
		e.world.scheduleAfter(delay, func() { current.gateway.firstToken(current) })
	case enginemodel.EventPrefillDone:
		current.cachedTokens = event.CachedTokens
		delete(e.attempts, event.ID)
		e.world.scheduleAfter(delay, func() { current.gateway.prefillDone(current) })
	case enginemodel.EventDone:
		delete(e.attempts, event.ID)
		e.world.scheduleAfter(delay, func() { current.gateway.finishAttempt(current) })
	}
}

// submission is an engine's answer to a submitted request.
type submission int

const (
	submissionAccepted submission = iota
	// submissionUnreachable means that the engine's process is down.
	submissionUnreachable
	// submissionNotServing means that the engine is draining or changing.
	submissionNotServing
	// submissionOverloaded means that the engine has no capacity for the request.
	submissionOverloaded
)

// submit starts an attempt at the engine if the engine accepts it.
func (e *engine) submit(current *attempt, phase enginemodel.Phase) submission {
	switch {
	case !e.isUp:
		return submissionUnreachable
	case e.state != enginecontract.StateServing:
		return submissionNotServing
	}
	err := e.model.Submit(e.localTime(e.world.now), enginemodel.Request{
		ID: current.id, PromptTokens: current.PromptTokens, OutputTokens: current.OutputTokens,
		Priority: current.kind.Priority, PrefixBlocks: current.engineBlocks, Phase: phase,
	})
	if err != nil {
		return submissionOverloaded
	}
	e.attempts[current.id] = current
	return submissionAccepted
}

// cancel ends an attempt's work at the engine.
func (e *engine) cancel(current *attempt) {
	if e.attempts[current.id] != current {
		return
	}
	delete(e.attempts, current.id)
	e.model.Cancel(e.localTime(e.world.now), current.id)
	e.finishDrain()
}

// setRole starts an order: the engine drains, changes its role, and serves again.
func (e *engine) setRole(role enginecontract.Role) {
	if !e.isUp || e.state != enginecontract.StateServing {
		e.target = ""
		return
	}
	e.state = enginecontract.StateDraining
	e.finishDrain()
}

// finishDrain starts the change once a draining engine is empty.
func (e *engine) finishDrain() {
	if e.state != enginecontract.StateDraining || !e.model.Empty() {
		return
	}
	e.state = enginecontract.StateChanging
	order := e.order
	e.world.scheduleAfter(e.profile.RoleChange, func() {
		if e.order == order && e.isUp {
			e.finishChange()
		}
	})
}

func (e *engine) finishChange() {
	from := e.role
	if err := e.model.SetRole(e.localTime(e.world.now), e.target); err != nil {
		return // cannot happen: the engine is empty, and the role is one of the three
	}
	e.role, e.target = e.target, ""
	e.roleSince = e.world.now
	e.state = enginecontract.StateServing
	e.world.recorder.recordChangeFinished(e, from)
}

// crash ends the process with the loss of its state; an order in progress fails.
func (e *engine) crash() {
	if !e.isUp {
		return
	}
	e.isUp = false
	e.order++
	e.target = ""
	lost := sortedAttempts(e.attempts)
	e.attempts = map[string]*attempt{}
	for _, each := range lost {
		delay := e.world.latency(e.declared.Zone, each.gateway.zone)
		e.world.scheduleAfter(delay, func() { each.gateway.handleCrash(each, e) })
	}
}

// restart starts the process again, empty, in its last role.
func (e *engine) restart() {
	model, err := enginemodel.New(e.profile, e.role)
	if e.isUp || err != nil {
		return // the error cannot happen: profile and role have been used before
	}
	e.model, e.isUp = model, true
	e.clockOffset = e.world.now // the new model's clock starts at 0
	e.paused = false
	e.incarnation++
	e.state = enginecontract.StateServing
	e.roleSince = e.world.now
}

func (e *engine) pause() {
	if !e.paused {
		e.paused, e.pausedAt = true, e.world.now
	}
}

func (e *engine) unpause() {
	if e.paused {
		e.clockOffset += e.world.now - e.pausedAt
		e.paused = false
	}
}

// sampleLoad adds a reading, which becomes visible once it is as old as the reports' lag.
func (e *engine) sampleLoad() {
	if !e.isUp || e.paused || e.reportsFrozen {
		return
	}
	e.model.TakeCacheEvents() // drops the cache events, which nothing reads and which would accumulate
	e.readings = append(e.readings, loadReading{at: e.world.now, load: e.model.Load(), state: e.state, role: e.role})
	visible := e.world.now - e.world.scenario.Reports.Lag
	for len(e.readings) > 1 && e.readings[1].at <= visible {
		e.readings = e.readings[1:]
	}
}

// visibleReading returns the newest reading that is at least as old as the reports' lag; the second value is false if
// there is none yet.
func (e *engine) visibleReading() (loadReading, bool) {
	visible := e.world.now - e.world.scenario.Reports.Lag
	for i := len(e.readings) - 1; i >= 0; i-- {
		if e.readings[i].at <= visible {
			return e.readings[i], true
		}
	}
	return loadReading{}, false
}

func (r loadReading) routingLoad() routing.Load {
	return routing.Load{Running: r.load.Running, Waiting: r.load.Waiting, WaitingPromptTokens: r.load.WaitingPromptTokens}
}
