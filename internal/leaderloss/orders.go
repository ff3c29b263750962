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
	// orderPause is the time between two tries to change the role of one engine.
	orderPause = 100 * time.Millisecond
	// orderPatience ends one try, with its resends.
	orderPatience = time.Second
)

// orders gives orders to change roles, as an operator does.
type orders struct{ operator *fleet.Operator }

// run changes one engine's role to and fro until the context ends. A refusal, as one
// by the bound on engines out, is tried again.
func (o *orders) run(ctx context.Context, changed *engine.Engine) {
	for ctx.Err() == nil {
		o.change(ctx, changed)
		sleep(ctx, orderPause)
	}
}

// change tries to change the role of an engine that serves. What became of it shows
// at the engine.
func (o *orders) change(ctx context.Context, changed *engine.Engine) {
	state, running := changed.State()
	if !running || state.State != enginecontract.StateServing {
		return
	}
	try, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	_, _ = o.operator.Execute(try, fmt.Sprintf("set role of engine %s to %s", changed.Name(), otherRole(state.Role)))
}

// otherRole is the role that an engine is changed to.
func otherRole(role enginecontract.Role) enginecontract.Role {
	if role == enginecontract.RoleMixed {
		return enginecontract.RoleDecode
	}
	return enginecontract.RoleMixed
}

// chooseEngines returns the engines whose roles are changed: mixed ones, so that no
// bound on the other roles is in the way.
func chooseEngines(all []*engine.Engine, count int) []*engine.Engine {
	var chosen []*engine.Engine
	for _, present := range all {
		state, running := present.State()
		if running && state.Role == enginecontract.RoleMixed && len(chosen) < count {
			chosen = append(chosen, present)
		}
	}
	return chosen
}

// underWay reports whether an engine carries out an order now.
func underWay(engines []*engine.Engine) bool {
	for _, present := range engines {
		state, running := present.State()
		if running && (state.OrderPhase == enginecontract.PhaseDraining || state.OrderPhase == enginecontract.PhaseChanging) {
			return true
		}
	}
	return false
}

// highestEpoch is the highest epoch that any engine has seen.
func highestEpoch(engines []*engine.Engine) uint64 {
	var highest uint64
	for _, present := range engines {
		state, _ := present.State()
		highest = max(highest, state.HighestFence.Epoch)
	}
	return highest
}

// fencedAbove reports whether every engine has seen an epoch above the given one.
func fencedAbove(engines []*engine.Engine, epoch uint64) bool {
	for _, present := range engines {
		if state, running := present.State(); running && state.HighestFence.Epoch <= epoch {
			return false
		}
	}
	return true
}

// orderAbove returns when an engine first accepted an order of an epoch above the
// given one.
func orderAbove(ordered *engine.Engine, epoch uint64) (time.Time, bool) {
	for _, accepted := range ordered.AcceptedOrders() {
		if accepted.Order.Fence.Epoch > epoch {
			return accepted.At, true
		}
	}
	return time.Time{}, false
}

// serves reports whether an engine takes new work and holds no order.
func serves(present *engine.Engine) bool {
	state, running := present.State()
	return running && state.State == enginecontract.StateServing
}
