package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// recentChangeWindow is the age up to which role changes are passed to the planner.
const recentChangeWindow = 2 * time.Hour

// planning holds the planners of the services and their last decisions.
type planning struct {
	planners map[string]planner.Planner
	reasons  map[string]plannerReason
}

// plannerReason records the planner's last decision for one service: its time, number of changes and reason.
type plannerReason struct {
	at      time.Duration
	changes int
	reason  string
}

func newPlanning() *planning {
	return &planning{planners: map[string]planner.Planner{}, reasons: map[string]plannerReason{}}
}

// plan runs the planner of each engine service and orders the changes it decides on.
func (c *Core) plan() {
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_SERVICE) {
		service := object.Key.Name
		if object.GetService().Type != v1.ServiceType_SERVICE_TYPE_ENGINE {
			continue
		}
		decider := c.planning.planners[service]
		if decider == nil {
			decider = c.config.NewPlanner(service)
			c.planning.planners[service] = decider
		}
		decision := decider.Plan(c.observeService(service, object.GetService()))
		c.applyDecision(service, decision)
	}
}

// applyDecision issues orders for the changes of a decision. A change that may not be ordered
// now is dropped, because the planner decides again at the next interval.
func (c *Core) applyDecision(service string, decision planner.Decision) {
	issued, reason := 0, decision.Reason
	for _, change := range decision.Changes {
		err := c.issueOrder(&v1.Order{
			Engine: change.Engine, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE,
			Role: engineroles.FromContract(change.To), Reason: change.Reason,
		})
		if err != nil {
			reason += "; held back: " + err.Error()
			continue
		}
		issued++
	}
	c.planning.reasons[service] = plannerReason{at: c.now, changes: issued, reason: reason}
}

// observeService collects the planner's input for one service.
func (c *Core) observeService(service string, declared *v1.Service) planner.Observation {
	model := c.state.Object(v1.ObjectType_OBJECT_TYPE_MODEL, declared.Model).GetModel()
	observation := planner.Observation{
		Now: c.now, Service: service,
		Engines: c.observeEngines(service), Demands: c.demands.Rows(c.now, service),
		Pins: map[string]enginecontract.Role{}, Profile: c.config.EngineProfile(model.GetProfile()),
		RecentChanges: c.recentChanges(service),
	}
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_KIND) {
		if kind := object.GetKind(); kind.Service == service {
			observation.Kinds = append(observation.Kinds, planner.KindWorth{
				Kind: object.Key.Name, Worth: kind.Worth, Deadline: time.Duration(kind.DeadlineMs) * time.Millisecond,
			})
		}
	}
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_BOUND) {
		if bound := object.GetBound(); bound.Service == service {
			observation.Bounds = append(observation.Bounds, planner.RoleBound{
				Zone: bound.Zone, Role: engineroles.ToContract(bound.Role),
				Minimum: int(bound.Minimum), Maximum: int(bound.Maximum), MaximumOut: int(bound.MaximumOut),
			})
		}
	}
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_PIN) {
		observation.Pins[object.GetPin().Engine] = engineroles.ToContract(object.GetPin().Role)
	}
	observation.Policy = c.policyOf(service)
	return observation
}

func (c *Core) policyOf(service string) planner.Policy {
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_POLICY) {
		if policy := object.GetPolicy(); policy.Service == service {
			return planner.Policy{
				ChangePrice: policy.ChangePrice, ChangesPerHour: int(policy.ChangesPerHour),
				MinimumDwell: time.Duration(policy.MinimumDwellMs) * time.Millisecond,
				Horizon:      time.Duration(policy.HorizonMs) * time.Millisecond,
			}
		}
	}
	return planner.Policy{}
}

// observeEngines lists the engines of a service, sorted by name.
func (c *Core) observeEngines(service string) []planner.EngineObservation {
	var engines []planner.EngineObservation
	for _, machine := range c.tracker.Machines() {
		reported := machine.State
		if machine.Row.Service != service || reported == nil {
			continue
		}
		engine := planner.EngineObservation{
			Name: reported.Engine, Zone: reported.Zone, Role: reported.Role, State: reported.State,
			Load: machine.Load, LoadAge: machine.LoadAge(c.now),
		}
		if machine.Row.State == enginecontract.StateLeaving || !machine.Listed {
			engine.State = enginecontract.StateLeaving
		}
		if record := c.state.Engine(reported.Engine); record != nil {
			engine.RoleSince = c.sinceOrigin(record.RoleSinceMs)
			if order := record.Outstanding; order != nil {
				engine.OrderOutstanding = true
				engine.TargetRole = engineroles.ToContract(order.Role)
			}
		}
		engines = append(engines, engine)
	}
	return engines
}

// recentChanges returns the times at which role changes of a service were ordered within recentChangeWindow.
func (c *Core) recentChanges(service string) []time.Duration {
	var times []time.Duration
	add := func(order *v1.Order) {
		record := c.state.Engine(order.GetEngine())
		since := c.sinceOrigin(order.GetIssuedAtMs())
		if order.GetAction() == v1.OrderAction_ORDER_ACTION_SET_ROLE && record.GetState().GetService() == service &&
			c.now-since < recentChangeWindow {
			times = append(times, since)
		}
	}
	for _, ended := range c.state.Orders("") {
		add(ended.Order)
	}
	for _, record := range c.state.Engines() {
		add(record.Outstanding)
	}
	return times
}
