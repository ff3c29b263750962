package authority

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// PrepareOrder checks that an order may be given now and fills in its epoch, expected role,
// incarnation and deadline. The caller proposes the returned command. The engine counts as busy until
// the command is applied, the order is withdrawn or the proposal times out.
func (c *Commander) PrepareOrder(now time.Duration, nowMs int64, state *controlstate.State, wanted *v1.Order) (*v1.IssueOrder, error) {
	engine := c.engines[wanted.Engine]
	if err := c.checkMayOrder(now, state, engine, wanted); err != nil {
		return nil, trace.Wrap(err)
	}
	order := proto.CloneOf(wanted)
	order.Epoch = c.epoch
	order.ExpectedRole = engineroles.FromContract(engine.state.Role)
	order.EngineIncarnation = engine.state.Incarnation
	order.IssuedAtMs = nowMs
	if order.DeadlineMs == 0 {
		order.DeadlineMs = nowMs + c.config.DrainTimeout.Milliseconds()
	}
	engine.pendingOrder = &pendingOrder{
		proposedAt: now, outOfService: takesOutOfService(order.Action), loadsWeights: loadsWeights(order.Action), targetRole: engineroles.ToContract(order.Role),
	}
	return &v1.IssueOrder{Order: order}, nil
}

// RecordProposedOrder records that a prepared order was proposed as the log entry at index. It returns no
// action: Step sends the order once it is committed. Only without SafeguardCommitBeforeSend is the
// order sent from here.
func (c *Commander) RecordProposedOrder(issue *v1.IssueOrder, index uint64) []Action {
	if c.config.Safeguards.IsEnabled(SafeguardCommitBeforeSend) {
		return nil
	}
	order := proto.CloneOf(issue.GetOrder())
	order.Sequence = index
	engine := c.findOrAddEngine(order.GetEngine())
	return []Action{SendOrder{Engine: engine.name, Address: engine.address, Order: contractOrder(order)}}
}

// WithdrawOrder records that a prepared order was not proposed or is no longer pending.
func (c *Commander) WithdrawOrder(name string) {
	if engine := c.engines[name]; engine != nil {
		engine.pendingOrder = nil
	}
}

func (c *Commander) checkMayOrder(now time.Duration, state *controlstate.State, engine *engine, wanted *v1.Order) error {
	activeEpoch, _ := state.Authority()
	switch {
	case c.epoch == 0 || activeEpoch != c.epoch:
		return trace.Wrap(ErrNoAuthority, "this controller has not begun its authority; try again in a second")
	case engine == nil:
		return trace.Wrap(ErrEngineUnknown, "engine %q; see `show engines`", wanted.Engine)
	case !engine.hasState || now-engine.stateAt > c.config.MaximumStateAge:
		return trace.Wrap(ErrEngineSilent, "engine %q", wanted.Engine)
	case !engine.isFenced(c.epoch) && c.config.Safeguards.IsEnabled(SafeguardFence):
		return trace.Wrap(ErrNoAuthority, "engine %q has not confirmed the fence; try again in a second", wanted.Engine)
	}
	record := state.Engine(wanted.Engine)
	switch {
	case record == nil:
		return trace.Wrap(ErrEngineUnknown, "engine %q is not recorded yet; try again in a second", wanted.Engine)
	case record.Outstanding != nil && c.config.Safeguards.IsEnabled(controlstate.OneOrderAtATime):
		return trace.Wrap(ErrEngineBusy, "engine %q holds order %d/%d; wait or abort it",
			wanted.Engine, record.Outstanding.Epoch, record.Outstanding.Sequence)
	case engine.pendingOrder != nil || isCarryingOutOrder(engine.state):
		return trace.Wrap(ErrEngineBusy, "engine %q is about to take, or still carries out, an order", wanted.Engine)
	}
	if err := checkServiceState(engine.state, wanted); err != nil {
		return err
	}
	return c.checkBounds(state, engine, wanted)
}

// checkServiceState requires a serving engine, or a draining one for a resume order.
func checkServiceState(last enginecontract.EngineState, wanted *v1.Order) error {
	resume := wanted.Action == v1.OrderAction_ORDER_ACTION_RESUME
	switch {
	case resume && last.State == enginecontract.StateDraining:
		return nil
	case resume:
		return trace.Wrap(ErrEngineState, "engine %q is %s, not drained", last.Engine, last.State)
	case last.State != enginecontract.StateServing:
		return trace.Wrap(ErrEngineState, "engine %q is %s; resume it first", last.Engine, last.State)
	case wanted.Action == v1.OrderAction_ORDER_ACTION_SET_ROLE && engineroles.FromContract(last.Role) == wanted.Role:
		return trace.Wrap(ErrEngineState, "engine %q plays this role already", last.Engine)
	}
	return nil
}

// takesOutOfService reports whether an action takes an engine out of service.
func takesOutOfService(action v1.OrderAction) bool {
	switch action {
	case v1.OrderAction_ORDER_ACTION_SET_ROLE, v1.OrderAction_ORDER_ACTION_LOAD_MODEL, v1.OrderAction_ORDER_ACTION_DRAIN:
		return true
	default:
		return false
	}
}

// loadsWeights reports whether an action loads weights from the weight store.
func loadsWeights(action v1.OrderAction) bool {
	return action == v1.OrderAction_ORDER_ACTION_LOAD_MODEL || action == v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER
}
