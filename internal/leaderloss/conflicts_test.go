package leaderloss

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

func TestConflictFinding(t *testing.T) {
	fence := func(epoch, sequence uint64) enginecontract.Fence {
		return enginecontract.Fence{Epoch: epoch, Sequence: sequence}
	}
	accepted := func(held enginecontract.Fence, action enginecontract.Action, phase enginecontract.OrderPhase) engine.AcceptedOrder {
		return engine.AcceptedOrder{
			Order:  enginecontract.Order{Fence: held, Action: action, ExpectedRole: enginecontract.RoleMixed},
			Before: enginecontract.EngineState{Engine: "e", Role: enginecontract.RoleMixed, OrderPhase: phase},
		}
	}
	otherRole := accepted(fence(3, 8), enginecontract.ActionSetRole, enginecontract.PhaseDone)
	otherRole.Before.Role = enginecontract.RoleDecode
	before := accepted(fence(3, 7), enginecontract.ActionSetRole, enginecontract.PhaseDone)
	logged := map[enginecontract.Fence]bool{fence(3, 7): true, fence(3, 8): true, fence(2, 9): true}
	tests := []struct {
		name     string
		accepted engine.AcceptedOrder
		finding  string
	}{
		{"next order", accepted(fence(3, 8), enginecontract.ActionSetRole, enginecontract.PhaseDone), ""},
		{"abort of a drain", accepted(fence(3, 9), enginecontract.ActionAbort, enginecontract.PhaseDraining), ""},
		{"older epoch", accepted(fence(2, 9), enginecontract.ActionSetRole, enginecontract.PhaseDone), "after 3/7"},
		{"same fence", accepted(fence(3, 7), enginecontract.ActionDrain, enginecontract.PhaseDone), "after 3/7"},
		{"second order", accepted(fence(3, 8), enginecontract.ActionSetRole, enginecontract.PhaseDraining), "while it carried out"},
		{"not in the log", accepted(fence(3, 10), enginecontract.ActionSetRole, enginecontract.PhaseDone), "doesn't hold"},
		{"other role", otherRole, "for role mixed and had decode"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := conflictFinding(before, test.accepted, logged)
			if test.finding == "" {
				require.Empty(t, found)
				return
			}
			require.Contains(t, found, test.finding)
		})
	}
}
