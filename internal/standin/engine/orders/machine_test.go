package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const roleChange = 4 * time.Second

func newMachine(off ...safeguard.Safeguard) *Machine {
	config := Config{Engine: "e1", Incarnation: 1, RoleChange: roleChange, WeightLoad: time.Second, AdapterLoad: time.Second, Safeguards: safeguard.Without(off...)}
	return New(config, Durable{Role: enginecontract.RoleMixed, Model: "m", Version: "1"})
}

func setRole(epoch, sequence uint64, role enginecontract.Role) enginecontract.Order {
	return enginecontract.Order{
		Fence: enginecontract.Fence{Epoch: epoch, Sequence: sequence}, Action: enginecontract.ActionSetRole,
		Role: role, ExpectedRole: enginecontract.RoleMixed, DrainMs: 10_000,
	}
}

func TestOrderDrainsThenChangesRole(t *testing.T) {
	machine := newMachine()
	order := setRole(1, 1, enginecontract.RolePrefill)
	answer := machine.Submit(0, order, 2)
	require.True(t, answer.Accepted)
	require.Equal(t, enginecontract.StateDraining, answer.State.State)
	machine.Advance(time.Second, 1)
	require.Equal(t, enginecontract.PhaseDraining, machine.State(1).OrderPhase)
	machine.Advance(2*time.Second, 0)
	require.Equal(t, enginecontract.StateChanging, machine.ServiceState())
	require.Equal(t, enginecontract.RoleMixed, machine.Role())
	at, found := machine.NextEvent()
	require.True(t, found)
	require.Equal(t, 6*time.Second, at)
	machine.Advance(at, 0)
	require.Equal(t, enginecontract.StateServing, machine.ServiceState())
	require.Equal(t, enginecontract.RolePrefill, machine.Role())
	require.True(t, machine.Submit(at, order, 0).Accepted, "a resend gets the same answer")
}

func TestOrderAnswers(t *testing.T) {
	held := setRole(2, 5, enginecontract.RolePrefill)
	abort := enginecontract.Order{Fence: enginecontract.Fence{Epoch: 2, Sequence: 6}, Action: enginecontract.ActionAbort}
	wrongRole := setRole(3, 1, enginecontract.RoleDecode)
	wrongRole.ExpectedRole = enginecontract.RolePrefill
	tests := []struct {
		name     string
		inFlight int
		order    enginecontract.Order
		off      []safeguard.Safeguard
		want     enginecontract.OrderRefusal
	}{
		{"lower epoch", 0, setRole(1, 9, enginecontract.RoleDecode), nil, enginecontract.RefusalStaleFence},
		{"lower epoch, no fence check", 9, setRole(1, 9, enginecontract.RoleDecode), []safeguard.Safeguard{FenceCheck, OneOrder}, ""},
		{"same fence, other order", 1, setRole(2, 5, enginecontract.RoleDecode), nil, enginecontract.RefusalStaleFence},
		{"busy draining", 1, setRole(2, 6, enginecontract.RoleDecode), nil, enginecontract.RefusalBusy},
		{"busy changing", 0, setRole(2, 6, enginecontract.RoleDecode), nil, enginecontract.RefusalBusy},
		{"abort while draining", 1, abort, nil, ""},
		{"abort while changing", 0, abort, nil, enginecontract.RefusalBusy},
		{"resend", 1, held, nil, ""},
		{"no epoch", 0, setRole(0, 6, enginecontract.RoleDecode), nil, enginecontract.RefusalInvalid},
		{"unknown role", 0, setRole(3, 1, "judge"), nil, enginecontract.RefusalInvalid},
		{"expects another role", 1, wrongRole, []safeguard.Safeguard{OneOrder}, enginecontract.RefusalExpectedState},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := newMachine(test.off...)
			require.True(t, machine.Submit(0, held, test.inFlight).Accepted)
			answer := machine.Submit(time.Second, test.order, test.inFlight)
			require.Equal(t, test.want, answer.Refusal)
			require.Equal(t, test.want == "", answer.Accepted)
			again := machine.Submit(time.Second, test.order, test.inFlight)
			require.Equal(t, answer, again, "a resend gets the same answer")
		})
	}
}

func TestDrainThatTakesTooLongIsAborted(t *testing.T) {
	machine := newMachine()
	machine.Submit(0, setRole(1, 1, enginecontract.RolePrefill), 1)
	machine.Advance(10*time.Second, 1)
	state := machine.State(1)
	require.Equal(t, enginecontract.PhaseAborted, state.OrderPhase)
	require.Equal(t, enginecontract.StateServing, state.State)
	require.Equal(t, enginecontract.RoleMixed, state.Role)
}

func TestCrashDuringChangeKeepsOldRoleAndFence(t *testing.T) {
	for _, inFlight := range []int{0, 1} {
		machine := newMachine()
		order := setRole(7, 1, enginecontract.RolePrefill)
		machine.Submit(0, order, inFlight)
		config := machine.config
		config.Incarnation = 2
		restarted := New(config, machine.Durable())
		state := restarted.State(0)
		require.Equal(t, enginecontract.PhaseAborted, state.OrderPhase)
		require.Equal(t, enginecontract.StateServing, state.State)
		require.Equal(t, enginecontract.RoleMixed, state.Role)
		require.Equal(t, order.Fence, state.HighestFence)
		stale := restarted.Submit(0, setRole(6, 1, enginecontract.RoleDecode), 0)
		require.Equal(t, enginecontract.RefusalStaleFence, stale.Refusal)

		config.Safeguards = safeguard.Without(DurableFence)
		forgetful := New(config, machine.Durable())
		require.True(t, forgetful.Submit(0, setRole(6, 1, enginecontract.RoleDecode), 0).Accepted)
	}
}

func TestFenceRejectsOlderEpochs(t *testing.T) {
	machine := newMachine()
	require.True(t, machine.RaiseFence(0, enginecontract.Fence{Epoch: 5}, 0).Accepted)
	require.True(t, machine.RaiseFence(0, enginecontract.Fence{Epoch: 5}, 0).Accepted)
	require.Equal(t, enginecontract.RefusalStaleFence, machine.RaiseFence(0, enginecontract.Fence{Epoch: 4}, 0).Refusal)
	require.Equal(t, enginecontract.RefusalStaleFence, machine.Submit(0, setRole(4, 9, enginecontract.RoleDecode), 0).Refusal)
	require.True(t, machine.Submit(0, setRole(5, 1, enginecontract.RoleDecode), 0).Accepted)
}

func TestMissingWeightsAbortTheChange(t *testing.T) {
	for _, loaded := range []bool{true, false} {
		machine := newMachine()
		machine.config.ExternalWeights = true
		order := enginecontract.Order{Fence: enginecontract.Fence{Epoch: 1}, Action: enginecontract.ActionLoadModel, Model: "m", Version: "2"}
		require.True(t, machine.Submit(0, order, 0).Accepted)
		machine.Advance(time.Hour, 0)
		require.Equal(t, enginecontract.StateChanging, machine.ServiceState())
		machine.FinishWeightLoad(time.Hour, order, loaded)
		require.Equal(t, enginecontract.StateServing, machine.ServiceState())
		require.Equal(t, map[bool]string{true: "2", false: "1"}[loaded], machine.State(0).Version)
	}
}

func TestAdaptersChangeWhileServing(t *testing.T) {
	machine := newMachine()
	load := enginecontract.Order{Fence: enginecontract.Fence{Epoch: 1, Sequence: 1}, Action: enginecontract.ActionLoadAdapter, Adapter: "a"}
	require.True(t, machine.Submit(0, load, 3).Accepted)
	require.Equal(t, enginecontract.StateServing, machine.ServiceState())
	require.False(t, machine.Serves("a"))
	machine.Advance(time.Second, 3)
	require.True(t, machine.Serves("a"))
	unload := enginecontract.Order{Fence: enginecontract.Fence{Epoch: 1, Sequence: 2}, Action: enginecontract.ActionUnloadAdapter, Adapter: "a"}
	require.True(t, machine.Submit(time.Second, unload, 3).Accepted)
	require.False(t, machine.Serves("a"))
}

// TestAdapterVersionIsReplaced loads a second version of an adapter: the first one is served
// until the second is loaded, and a restart in between keeps the first.
func TestAdapterVersionIsReplaced(t *testing.T) {
	load := func(sequence uint64, version string) enginecontract.Order {
		return enginecontract.Order{Fence: enginecontract.Fence{Epoch: 1, Sequence: sequence}, Action: enginecontract.ActionLoadAdapter, Adapter: "a", Version: version}
	}
	for _, restart := range []bool{false, true} {
		machine := newMachine()
		require.True(t, machine.Submit(0, load(1, "1"), 0).Accepted)
		machine.Advance(time.Second, 0)
		require.True(t, machine.Submit(time.Second, load(2, "2"), 0).Accepted)
		require.True(t, machine.Serves("a"))
		require.Equal(t, map[string]string{"a": "1"}, machine.State(0).AdapterVersions)
		if restart {
			machine = New(Config{Engine: "e1", Incarnation: 2}, machine.Durable())
		}
		machine.Advance(2*time.Second, 0)
		require.Equal(t, map[string]string{"a": map[bool]string{false: "2", true: "1"}[restart]}, machine.State(0).AdapterVersions)
		require.Equal(t, []string{"a"}, machine.State(0).Adapters)
	}
}

// TestNoOrderCutsOrOverlaps sends orders of competing leaders, resends and crashes at random.
// An engine must never accept an order at or below its fence or while another is in progress,
// and must never begin a change with work in flight.
func TestNoOrderCutsOrOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine()
		now, inFlight := time.Duration(0), 0
		var highest enginecontract.Fence
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			machine.Advance(now, inFlight)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if machine.ServiceState() == enginecontract.StateServing {
					inFlight++
				}
			case 1:
				inFlight = max(0, inFlight-1)
			case 2:
				before := machine.State(inFlight)
				order := setRole(rapid.Uint64Range(1, 3).Draw(t, "epoch"), rapid.Uint64Range(1, 20).Draw(t, "sequence"), rapid.SampledFrom([]enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode}).Draw(t, "role"))
				order.ExpectedRole = before.Role
				answer := machine.Submit(now, order, inFlight)
				fresh := answer.Accepted && order.Fence != before.OrderFence
				if fresh {
					require.True(t, highest.Less(order.Fence))
					require.NotContains(t, []enginecontract.OrderPhase{enginecontract.PhaseDraining, enginecontract.PhaseChanging}, before.OrderPhase)
				}
			case 3:
				if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
					machine, inFlight = New(machine.config, machine.Durable()), 0
				}
			}
			state := machine.State(inFlight)
			require.False(t, state.HighestFence.Less(highest), "the fence went back")
			highest = state.HighestFence
			if state.State == enginecontract.StateChanging {
				require.Zero(t, inFlight, "a change began with work in flight")
			}
		}
	})
}
