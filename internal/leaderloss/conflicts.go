package leaderloss

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

// conflictFinding compares one order that an engine accepted with its previous accepted
// order and with the replicated log. It returns a finding, or "" if there is no conflict.
// logged holds the fences of the engine's orders in the log.
func conflictFinding(before, accepted engine.AcceptedOrder, logged map[enginecontract.Fence]bool) string {
	order, state := accepted.Order, accepted.Before
	abort := order.Action == enginecontract.ActionAbort
	underWay := state.OrderPhase == enginecontract.PhaseDraining || state.OrderPhase == enginecontract.PhaseChanging
	switch {
	case !before.Order.Fence.Less(order.Fence):
		return fmt.Sprintf("%s accepted order %s after %s", state.Engine, fenceText(order.Fence), fenceText(before.Order.Fence))
	case underWay && !abort:
		return fmt.Sprintf("%s accepted order %s while it carried out %s", state.Engine, fenceText(order.Fence), fenceText(state.OrderFence))
	case order.ExpectedRole != "" && order.ExpectedRole != state.Role:
		return fmt.Sprintf("%s accepted order %s for role %s and had %s", state.Engine, fenceText(order.Fence), order.ExpectedRole, state.Role)
	case !abort && !logged[order.Fence]:
		return fmt.Sprintf("%s accepted order %s, which the log doesn't hold", state.Engine, fenceText(order.Fence))
	}
	return ""
}

func fenceText(fence enginecontract.Fence) string {
	return fmt.Sprintf("%d/%d", fence.Epoch, fence.Sequence)
}

// parseFence parses a fence in the form of the operator language.
func parseFence(text string) (enginecontract.Fence, error) {
	var fence enginecontract.Fence
	_, err := fmt.Sscanf(text, "%d/%d", &fence.Epoch, &fence.Sequence)
	return fence, err
}
