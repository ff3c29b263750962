package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// engine is one engine of the fleet: the model and what surrounds it.
type engine struct {
	world    *world
	declared scenario.Engine
	profile  enginemodel.Profile
	model    *enginemodel.Engine
	state    enginecontract.ServiceState
	role     enginecontract.Role
	// roleSince is when the engine took its role.
	roleSince   time.Duration
	incarnation uint64
	// target is the role of the order under way; empty without one.
	target enginecontract.Role
	// order numbers the orders, so that a crash makes the waits of one void.
	order int
	// up is false while the engine's process is gone.
	up bool
	// paused is set while the process stands still; lag is how much time it has lost.
	paused   bool
	pausedAt time.Duration
	lag      time.Duration

	flights map[string]*flight
	// readings are load reports, oldest first; frozen keeps the newest from coming in.
	readings []reading
	frozen   bool
}

// reading is what an engine reported of itself at one time.
type reading struct {
	at    time.Duration
	load  enginemodel.Load
	state enginecontract.ServiceState
	role  enginecontract.Role
}

func newEngine(w *world, declared scenario.Engine, profile enginemodel.Profile) (*engine, error) {
	made := &engine{
		world: w, declared: declared, profile: profile, state: enginecontract.StateServing, role: declared.Role,
		incarnation: 1, up: true, flights: map[string]*flight{},
	}
	model, err := enginemodel.New(profile, declared.Role)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	made.model = model
	return made, nil
}

// local is the time of the engine's own clock, which stands still in a pause.
func (e *engine) local(now time.Duration) time.Duration {
	if e.paused {
		return e.pausedAt - e.lag
	}
	return now - e.lag
}

func (e *engine) nextEvent() (time.Duration, bool) {
	if !e.up || e.paused {
		return 0, false
	}
	at, busy := e.model.NextEvent()
	return at + e.lag, busy
}

// advance lets the engine work up to now and passes on what happened.
func (e *engine) advance(now time.Duration) {
	if at, busy := e.nextEvent(); !busy || at > now {
		return
	}
	for _, event := range e.model.Advance(e.local(now)) {
		if flight, found := e.flights[event.ID]; found {
			e.pass(flight, event)
		}
	}
	e.finishDrain()
}

func (e *engine) pass(flight *flight, event enginemodel.Event) {
	way := e.world.latency(e.declared.Zone, flight.gateway.zone)
	switch event.Type {
	case enginemodel.EventFirstToken:
		flight.cached = max(flight.cached, event.CachedTokens)
		e.world.after(way, func() { flight.gateway.firstToken(flight) })
	case enginemodel.EventPrefillDone:
		flight.cached = event.CachedTokens
		delete(e.flights, event.ID)
		e.world.after(way, func() { flight.gateway.prefillDone(flight) })
	case enginemodel.EventDone:
		delete(e.flights, event.ID)
		e.world.after(way, func() { flight.gateway.done(flight) })
	}
}

// submission is how an engine answers a request that is sent to it.
type submission int

const (
	submissionTaken submission = iota
	// submissionUnreachable: the engine's process is gone.
	submissionUnreachable
	// submissionNotServing: the engine drains or changes.
	submissionNotServing
	// submissionOverloaded: the engine has no room for it.
	submissionOverloaded
)

// submit takes a request on, if the engine can.
func (e *engine) submit(flight *flight, phase enginemodel.Phase) submission {
	switch {
	case !e.up:
		return submissionUnreachable
	case e.state != enginecontract.StateServing:
		return submissionNotServing
	}
	err := e.model.Submit(e.local(e.world.now), enginemodel.Request{
		ID: flight.id, PromptTokens: flight.PromptTokens, OutputTokens: flight.OutputTokens,
		Priority: flight.kind.Priority, PrefixBlocks: flight.engineBlocks, Phase: phase,
	})
	if err != nil {
		return submissionOverloaded
	}
	e.flights[flight.id] = flight
	return submissionTaken
}

// cancel ends a flight's work at the engine.
func (e *engine) cancel(flight *flight) {
	if e.flights[flight.id] != flight {
		return
	}
	delete(e.flights, flight.id)
	e.model.Cancel(e.local(e.world.now), flight.id)
	e.finishDrain()
}

// setRole takes an order: the engine drains, is out for the role change, and serves.
func (e *engine) setRole(role enginecontract.Role) {
	if !e.up || e.state != enginecontract.StateServing {
		e.target = ""
		return
	}
	e.state = enginecontract.StateDraining
	e.finishDrain()
}

// finishDrain begins the change once an engine that drains is empty.
func (e *engine) finishDrain() {
	if e.state != enginecontract.StateDraining || !e.model.Empty() {
		return
	}
	e.state = enginecontract.StateChanging
	order := e.order
	e.world.after(e.profile.RoleChange, func() {
		if e.order == order && e.up {
			e.finishChange()
		}
	})
}

func (e *engine) finishChange() {
	from := e.role
	if err := e.model.SetRole(e.local(e.world.now), e.target); err != nil {
		return // it is empty, and the role is one of the three
	}
	e.role, e.target = e.target, ""
	e.roleSince = e.world.now
	e.state = enginecontract.StateServing
	e.world.recorder.changeFinished(e, from)
}

// crash ends the process with all it holds; an order under way fails.
func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.order++
	e.target = ""
	lost := sortedFlights(e.flights)
	e.flights = map[string]*flight{}
	for _, each := range lost {
		way := e.world.latency(e.declared.Zone, each.gateway.zone)
		e.world.after(way, func() { each.gateway.cut(each, e) })
	}
}

// restart brings the process back, empty, in the role it last had.
func (e *engine) restart() {
	model, err := enginemodel.New(e.profile, e.role)
	if e.up || err != nil {
		return // the profile and the role have been used before
	}
	e.model, e.up = model, true
	e.lag = e.world.now // a new engine's clock begins at 0
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
		e.lag += e.world.now - e.pausedAt
		e.paused = false
	}
}

// sampleLoad takes a reading, which others see when it is as old as the reports' lag.
func (e *engine) sampleLoad() {
	if !e.up || e.paused || e.frozen {
		return
	}
	e.model.TakeCacheEvents() // nobody listens, and they would pile up
	e.readings = append(e.readings, reading{at: e.world.now, load: e.model.Load(), state: e.state, role: e.role})
	visible := e.world.now - e.world.scenario.Reports.Lag
	for len(e.readings) > 1 && e.readings[1].at <= visible {
		e.readings = e.readings[1:]
	}
}

// reported is the newest reading that others can see; false before the first.
func (e *engine) reported() (reading, bool) {
	visible := e.world.now - e.world.scenario.Reports.Lag
	for i := len(e.readings) - 1; i >= 0; i-- {
		if e.readings[i].at <= visible {
			return e.readings[i], true
		}
	}
	return reading{}, false
}

func (r reading) routingLoad() routing.Load {
	return routing.Load{Running: r.load.Running, Waiting: r.load.Waiting, WaitingPromptTokens: r.load.WaitingPromptTokens}
}
