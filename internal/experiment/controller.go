package experiment

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/demand"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// recentChangeWindow is how far back the planner sees changes, the same as in package control.
const recentChangeWindow = 2 * time.Hour

// controller is the leading controller: it collects the planner's observations, runs the
// planner, and orders the changes that the declared bounds allow.
type controller struct {
	world    *world
	demands  *demand.Table
	planners map[string]planner.Planner
	// changes holds, by service, the times of the ordered changes. In the product they are in the replicated log, so
	// they survive a crash of the planner here.
	changes map[string][]time.Duration
	// plannerFaults counts the active faults that suspend the planner; reportFaults counts
	// those that drop reports.
	plannerFaults int
	reportFaults  int
	// lastObserved is the last observation of each engine, used while its reports are lost or its
	// process is down or suspended.
	lastObserved map[string]planner.EngineObservation
}

func newController(w *world) *controller {
	c := &controller{world: w, changes: map[string][]time.Duration{}, lastObserved: map[string]planner.EngineObservation{}}
	c.resetMemory()
	return c
}

// resetMemory drops what only the planner's process stores in memory.
func (c *controller) resetMemory() {
	c.demands = demand.NewTable()
	c.planners = map[string]planner.Planner{}
	for _, service := range c.world.scenario.Services {
		c.planners[service.Name] = c.world.options.Policy.NewPlanner(service.Name)
	}
}

// receiveReport records a gateway's demand report unless a fault prevents it.
func (c *controller) receiveReport(from *v1.NodeIdentity, report *v1.ReportRequest) {
	if c.plannerFaults == 0 && c.reportFaults == 0 {
		c.demands.RecordReport(c.world.now, from, report)
	}
}

func (c *controller) plan() {
	if c.plannerFaults > 0 {
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

// observe returns all that the planner can know about one service.
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

// observeEngine returns the observation of one engine from its last visible report.
func (c *controller) observeEngine(engine *engine) planner.EngineObservation {
	reading, found := engine.visibleReading()
	name := engine.declared.Name
	if last, known := c.lastObserved[name]; known && (c.reportFaults > 0 || !engine.isUp || engine.paused) {
		last.LoadAge += planInterval
		last.OrderOutstanding, last.TargetRole = engine.target != "", engine.target
		c.lastObserved[name] = last
		return last
	}
	observed := planner.EngineObservation{
		Name: name, Zone: engine.declared.Zone, Role: engine.role, State: engine.state, RoleSince: engine.roleSince,
		OrderOutstanding: engine.target != "", TargetRole: engine.target,
	}
	if found {
		observed.LoadAge = c.world.now - reading.at
		observed.Load = &enginecontract.LoadReport{
			Engine: name, State: reading.state, Role: reading.role, Running: reading.load.Running, Waiting: reading.load.Waiting,
			WaitingPromptTokens: reading.load.WaitingPromptTokens, RunningOutputTokens: reading.load.RunningOutputTokens,
			KVCacheUsed: reading.load.KVCacheUsed, PromptTokensDone: reading.load.PromptTokensDone, OutputTokensDone: reading.load.OutputTokensDone,
		}
	}
	c.lastObserved[name] = observed
	return observed
}

// order sends a change to its engine if the declared bounds allow it at this time.
func (c *controller) order(service *scenario.Service, change planner.Change) {
	engine := c.world.byName[change.Engine]
	if engine == nil || engine.target != "" || engine.role == change.To || !engine.isUp || c.countOut(service) >= maxOut(service) {
		return
	}
	if pinned, found := service.Pins[change.Engine]; found && pinned != change.To {
		return
	}
	engine.target = change.To
	engine.order++
	order := engine.order
	c.changes[service.Name] = append(c.changes[service.Name], c.world.now)
	c.world.recorder.recordChangeOrdered(engine, change)
	c.world.scheduleAfter(orderDelay, func() {
		if engine.order == order && engine.isUp {
			engine.setRole(change.To)
		}
	})
}

// countOut counts the engines of a service that are out of service for a change.
func (c *controller) countOut(service *scenario.Service) int {
	out := 0
	for _, engine := range c.world.engines {
		if engine.declared.Service == service.Name && engine.target != "" {
			out++
		}
	}
	return out
}

// maxOut returns the tightest bound on the engines out of service at once over a whole service.
func maxOut(service *scenario.Service) int {
	limit := 0
	for _, bound := range service.Bounds {
		if most := max(bound.MaximumOut, 1); bound.Zone == "" && (limit == 0 || most < limit) {
			limit = most
		}
	}
	return max(limit, 1)
}

// plannerProfile converts the declared profile of a service for the planner.
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
