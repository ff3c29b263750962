package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// Intervals of the leader's duties.
const (
	claimInterval      = 5 * time.Second
	reconcileInterval  = time.Second
	housekeepInterval  = 10 * time.Second
	engineGoneInterval = 10 * time.Second
)

// duties are the times at which the leader's periodic tasks are due next.
type duties struct {
	claims, reconcile, housekeeping, engines, plan, suspects time.Duration
}

// due reports whether the time *next of a periodic task has come, and if so moves *next to one interval after now.
func due(now time.Duration, next *time.Duration, interval time.Duration) bool {
	if now < *next {
		return false
	}
	*next = now + interval
	return true
}

// tick runs the tasks that depend only on time.
func (c *Core) tick() {
	c.pollEngines()
	if !c.leading || !c.consensus.HasValidLease(c.now) {
		return
	}
	if c.raiseTermIfFenced() {
		return
	}
	c.runCommander()
	c.tickAgreement()
	c.tickListing()
	c.tickStages()
	c.tickUsage()
	c.tickReplicas()
	c.tickQuarantine()
	if due(c.now, &c.duties.claims, claimInterval) {
		c.markLostGateways()
		c.expireClaims()
	}
	if due(c.now, &c.duties.reconcile, reconcileInterval) {
		c.reconcileDeclared()
	}
	if c.config.PlanInterval > 0 && due(c.now, &c.duties.plan, c.config.PlanInterval) {
		c.plan()
	}
	if due(c.now, &c.duties.housekeeping, housekeepInterval) {
		c.divider.DropExpired(c.now)
		c.demands.DropExpired(c.now)
		c.dropSilentRelays()
	}
	if due(c.now, &c.duties.engines, engineGoneInterval) {
		c.removeGoneEngines()
	}
}

// raiseTermIfFenced gives up this leader's term when most engines hold fences of later terms, and reports whether it did.
// Engines hold such fences when the quorum was formed anew: its terms then start below those that the engines remember.
func (c *Core) raiseTermIfFenced() bool {
	epoch, isMajority := c.commander.NewerFenceEpoch()
	return isMajority && c.consensus.RaiseTerm(c.now, epoch) == nil
}

// markLostGateways proposes to set the claims of gateways that are gone to the state unknown.
func (c *Core) markLostGateways() {
	for _, holder := range c.state.ClaimHolders() {
		if c.tracker.IsGatewayGone(c.now, c.leadingSince, holder.Gateway, holder.Incarnation) {
			c.proposeWithoutCall(&v1.Command{Body: &v1.Command_LoseGateway{
				LoseGateway: &v1.LoseGateway{Gateway: holder.Gateway, Incarnation: holder.Incarnation},
			}})
		}
	}
}

// expireClaims proposes to drop the claims that have expired.
func (c *Core) expireClaims() {
	now := c.wallMs()
	if c.state.HasExpiredClaims(now) {
		c.proposeWithoutCall(&v1.Command{Body: &v1.Command_ExpireClaims{ExpireClaims: &v1.ExpireClaims{BeforeMs: now}}})
	}
}

// removeGoneEngines proposes to remove the records of engines that are neither listed nor answering.
func (c *Core) removeGoneEngines() {
	if c.now-c.leadingSince < engineGoneInterval || !c.tracker.HasList() {
		return
	}
	for _, record := range c.state.Engines() {
		if record.Outstanding == nil && c.tracker.Machine(record.State.Engine) == nil {
			c.proposeWithoutCall(&v1.Command{Body: &v1.Command_RecordEngine{
				RecordEngine: &v1.RecordEngine{Engine: &v1.EngineState{Engine: record.State.Engine}, Removed: true},
			}})
		}
	}
}

// reconcileDeclared orders engines into their declared state: pinned roles, the versions of
// models in force, and adapters. Orders that may not be issued now are retried.
func (c *Core) reconcileDeclared() {
	c.deferredOrders = map[string]string{}
	for _, order := range declaredOrders(c.state) {
		if err := c.issueOrder(order); err != nil {
			c.deferredOrders[order.Engine] = language.FormatOrder(order) + ": " + oneLine(err)
		}
	}
}

// declaredOrders lists the orders that would bring engines to their declared state, at most
// one for each engine, sorted by engine.
func declaredOrders(state *controlstate.State) []*v1.Order {
	pins := map[string]*v1.Pin{}
	for _, object := range state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_PIN) {
		pins[object.GetPin().Engine] = object.GetPin()
	}
	var orders []*v1.Order
	for _, record := range state.Engines() {
		if record.Outstanding != nil || record.Drained {
			continue
		}
		if order := declaredOrder(state, record.State, pins[record.State.Engine]); order != nil {
			orders = append(orders, order)
		}
	}
	return orders
}

// declaredOrder returns the next order that an engine needs, or nil.
func declaredOrder(state *controlstate.State, engine *v1.EngineState, pin *v1.Pin) *v1.Order {
	if pin != nil && pin.Role != engine.Role {
		return &v1.Order{Engine: engine.Engine, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE, Role: pin.Role,
			Reason: "the engine is pinned to this role"}
	}
	service := state.Object(v1.ObjectType_OBJECT_TYPE_SERVICE, engine.Service).GetService()
	if service.GetType() != v1.ServiceType_SERVICE_TYPE_ENGINE {
		return nil
	}
	model := state.Object(v1.ObjectType_OBJECT_TYPE_MODEL, service.Model).GetModel()
	if model != nil && (engine.Model != service.Model || engine.Version != model.Version) {
		return &v1.Order{Engine: engine.Engine, Action: v1.OrderAction_ORDER_ACTION_LOAD_MODEL,
			Model: service.Model, Version: model.Version, Reason: "the service's model has this version in force"}
	}
	return adapterOrder(state, engine)
}
