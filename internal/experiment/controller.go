package experiment

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/demand"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// recentChangeWindow is how far back changes are told to the planner, as in control.
const recentChangeWindow = 2 * time.Hour

// controller is the leader: it gathers what the planner may know, lets it decide, and
// orders what the declared bounds allow.
type controller struct {
	world    *world
	demands  *demand.Table
	planners map[string]planner.Planner
	// changes are the times of ordered changes by service; they are in the replicated
	// log and outlive a crash of the planner.
	changes map[string][]time.Duration
	// stopped counts the faults during which no decision is made; deaf those during
	// which no report arrives.
	stopped int
	deaf    int
	// stale holds what was last known of each engine while reports are lost.
	stale map[string]planner.EngineObservation
}

func newController(w *world) *controller {
	c := &controller{world: w, changes: map[string][]time.Duration{}, stale: map[string]planner.EngineObservation{}}
	c.forget()
	return c
}

// forget loses what only the process remembered.
func (c *controller) forget() {
	c.demands = demand.NewTable()
	c.planners = map[string]planner.Planner{}
	for _, service := range c.world.scenario.Services {
		c.planners[service.Name] = c.world.options.Policy.NewPlanner(service.Name)
	}
}

// take receives a gateway's demand report.
func (c *controller) take(from *v1.NodeIdentity, report *v1.ReportRequest) {
	if c.stopped == 0 && c.deaf == 0 {
		c.demands.RecordReport(c.world.now, from, report)
	}
}

func (c *controller) plan() {
	if c.stopped > 0 {
		return
	}
	for i := range c.world.scenario.Services {
		service := &c.world.scenario.Services[i]
		decision := c.planners[service.Name].Plan(c.observe(service))
		for _, change := range decision.Changes {
			c.order(service, change)
		}
	}
}

// observe gathers all that the planner may know about one service.
func (c *controller) observe(service *scenario.Service) planner.Observation {
	observation := planner.Observation{
		Now: c.world.now, Service: service.Name, Engines: c.observeEngines(service.Name),
		Demands: c.demands.Rows(c.world.now, service.Name), Pins: service.Pins,
		Profile: plannerProfile(service),
		Policy: planner.Policy{
			ChangePrice: service.Trade.ChangePrice, ChangesPerHour: service.Trade.ChangesPerHour,
			MinimumDwell: service.Trade.MinimumDwell, Horizon: service.Trade.Horizon,
		},
	}
	for _, kind := range c.world.scenario.Kinds {
		if kind.Service == service.Name {
			observation.Kinds = append(observation.Kinds, planner.KindWorth{Kind: kind.Name, Worth: kind.Worth, Deadline: kind.Deadline})
		}
	}
	for _, bound := range service.Bounds {
		observation.Bounds = append(observation.Bounds, planner.RoleBound{
			Zone: bound.Zone, Role: bound.Role, Minimum: bound.Minimum, Maximum: bound.Maximum, MaximumOut: bound.MaximumOut,
		})
	}
	for _, at := range c.changes[service.Name] {
		if c.world.now-at < recentChangeWindow {
			observation.RecentChanges = append(observation.RecentChanges, at)
		}
	}
	return observation
}

func (c *controller) observeEngines(service string) []planner.EngineObservation {
	var engines []planner.EngineObservation
	for _, engine := range c.world.engines {
		if engine.declared.Service == service {
			engines = append(engines, c.observeEngine(engine))
		}
	}
	return engines
}

// observeEngine is one engine as its last report that arrived tells it.
func (c *controller) observeEngine(engine *engine) planner.EngineObservation {
	seen, found := engine.reported()
	name := engine.declared.Name
	if last, known := c.stale[name]; known && (c.deaf > 0 || !engine.up || engine.paused) {
		last.LoadAge += planInterval
		last.OrderOutstanding, last.TargetRole = engine.target != "", engine.target
		c.stale[name] = last
		return last
	}
	observed := planner.EngineObservation{
		Name: name, Zone: engine.declared.Zone, Role: engine.role, State: engine.state, RoleSince: engine.roleSince,
		OrderOutstanding: engine.target != "", TargetRole: engine.target,
	}
	if found {
		observed.LoadAge = c.world.now - seen.at
		observed.Load = &enginecontract.LoadReport{
			Engine: name, State: seen.state, Role: seen.role, Running: seen.load.Running, Waiting: seen.load.Waiting,
			WaitingPromptTokens: seen.load.WaitingPromptTokens, RunningOutputTokens: seen.load.RunningOutputTokens,
			KVCacheUsed: seen.load.KVCacheUsed, PromptTokensDone: seen.load.PromptTokensDone, OutputTokensDone: seen.load.OutputTokensDone,
		}
	}
	c.stale[name] = observed
	return observed
}

// order sends a change to its engine if the declared bounds allow it now.
func (c *controller) order(service *scenario.Service, change planner.Change) {
	engine := c.world.byName[change.Engine]
	if engine == nil || engine.target != "" || engine.role == change.To || !engine.up || c.countOut(service) >= maximumOut(service) {
		return
	}
	if pinned, found := service.Pins[change.Engine]; found && pinned != change.To {
		return
	}
	engine.target = change.To
	engine.order++
	order := engine.order
	c.changes[service.Name] = append(c.changes[service.Name], c.world.now)
	c.world.recorder.changeOrdered(engine, change)
	c.world.after(orderTime, func() {
		if engine.order == order && engine.up {
			engine.setRole(change.To)
		}
	})
}

// countOut counts the engines of a service that are out for a change.
func (c *controller) countOut(service *scenario.Service) int {
	out := 0
	for _, engine := range c.world.engines {
		if engine.declared.Service == service.Name && engine.target != "" {
			out++
		}
	}
	return out
}

// maximumOut is the smallest bound on the engines out at once over a whole service.
func maximumOut(service *scenario.Service) int {
	limit := 0
	for _, bound := range service.Bounds {
		if most := max(bound.MaximumOut, 1); bound.Zone == "" && (limit == 0 || most < limit) {
			limit = most
		}
	}
	return max(limit, 1)
}

// plannerProfile is what the declared profile of a service tells the planner.
func plannerProfile(service *scenario.Service) planner.EngineProfile {
	profile := planner.ProfileOf(service.Profile)
	engine := service.EngineProfile()
	profile.RoleChange = engine.RoleChange
	profile.StepBase = engine.StepBase
	profile.StepPerSequence = engine.StepPerSequence
	profile.StepPerContextToken = engine.StepPerContextToken
	profile.DecodeTokensPerSecond *= engine.PrefillTokensPerSecond / profile.PrefillTokensPerSecond
	profile.PrefillTokensPerSecond = engine.PrefillTokensPerSecond
	return profile
}
