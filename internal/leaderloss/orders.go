package leaderloss

import (
	"context"
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

const (
	// roleChangePause is the time between two attempts to change the role of one engine.
	roleChangePause = 100 * time.Millisecond
	// roleChangeTimeout limits one attempt with its retries.
	roleChangeTimeout = time.Second
)

// roleChanger requests role changes as an operator does.
type roleChanger struct{ operator *fleet.Operator }

// run alternates one engine's role until the context ends. A refused change, such as one
// beyond the bound on engines out of service, is attempted again.
func (o *roleChanger) run(ctx context.Context, changed *engine.Engine) {
	for ctx.Err() == nil {
		o.change(ctx, changed)
		sleep(ctx, roleChangePause)
	}
}

// change requests a role change of an engine that is serving. It ignores the answer: the
// engine's own state shows the result.
func (o *roleChanger) change(ctx context.Context, changed *engine.Engine) {
	state, running := changed.State()
	if !running || state.State != enginecontract.StateServing {
		return
	}
	try, cancel := context.WithTimeout(ctx, roleChangeTimeout)
	defer cancel()
	_, _ = o.operator.Execute(try, fmt.Sprintf("set role of engine %s to %s", changed.Name(), nextRole(state.Role)))
}

// nextRole returns the role that an engine with the given role is changed to.
func nextRole(role enginecontract.Role) enginecontract.Role {
	if role == enginecontract.RoleMixed {
		return enginecontract.RoleDecode
	}
	return enginecontract.RoleMixed
}

// chooseEngines returns the engines whose roles are changed. They are mixed ones, so that
// the bounds on the other roles do not prevent a change.
func chooseEngines(all []*engine.Engine, count int) []*engine.Engine {
	var chosen []*engine.Engine
	for _, candidate := range all {
		state, running := candidate.State()
		if running && state.Role == enginecontract.RoleMixed && len(chosen) < count {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// anyOrderInProgress reports whether an engine is carrying out an order.
func anyOrderInProgress(engines []*engine.Engine) bool {
	for _, each := range engines {
		state, running := each.State()
		if running && (state.OrderPhase == enginecontract.PhaseDraining || state.OrderPhase == enginecontract.PhaseChanging) {
			return true
		}
	}
	return false
}

// highestEpoch returns the highest epoch in the fences of the engines.
func highestEpoch(engines []*engine.Engine) uint64 {
	var highest uint64
	for _, each := range engines {
		state, _ := each.State()
		highest = max(highest, state.HighestFence.Epoch)
	}
	return highest
}

// allFencedAbove reports whether every running engine has a fence of an epoch above the given one.
func allFencedAbove(engines []*engine.Engine, epoch uint64) bool {
	for _, each := range engines {
		if state, running := each.State(); running && state.HighestFence.Epoch <= epoch {
			return false
		}
	}
	return true
}

// firstOrderAbove returns when an engine first accepted an order of an epoch above the given
// one; the second value is false if it has not.
func firstOrderAbove(ordered *engine.Engine, epoch uint64) (time.Time, bool) {
	for _, accepted := range ordered.AcceptedOrders() {
		if accepted.Order.Fence.Epoch > epoch {
			return accepted.At, true
		}
	}
	return time.Time{}, false
}

// isServing reports whether an engine accepts new work, and thus carries out no order.
func isServing(checked *engine.Engine) bool {
	state, running := checked.State()
	return running && state.State == enginecontract.StateServing
}
