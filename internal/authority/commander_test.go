package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	done       = v1.OrderOutcome_ORDER_OUTCOME_DONE
	aborted    = v1.OrderOutcome_ORDER_OUTCOME_ABORTED
	refused    = v1.OrderOutcome_ORDER_OUTCOME_REFUSED
	engineLost = v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST
	decode     = v1.Role_ROLE_DECODE
)

func TestNoOrderBeforeTheFence(t *testing.T) {
	b := newBench(t, 5)
	b.deliver = false
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrNoAuthority)
	b.step() // begins the authority
	epoch, leader := b.state.Authority()
	require.Equal(t, uint64(5), epoch)
	require.Equal(t, "leader", leader)
	b.step()
	require.Equal(t, []Action{SendFence{Engine: "engine", Address: "127.0.0.1:1", Epoch: 5}}, b.outbox)
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrNoAuthority)
	b.deliverAll()
	b.step()
	b.mustOrder(setRole("engine", decode))
	b.step()
	require.Len(t, b.outbox, 1)
	require.IsType(t, SendOrder{}, b.outbox[0])
}

func TestLostEngineStillBusyGetsNoOrder(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.inFlight["engine"] = 1
	order := setRole("engine", decode)
	order.DeadlineMs = testStart + (b.now + time.Hour).Milliseconds()
	b.mustOrder(order)
	b.step()
	b.commander.SetListing("engine", "127.0.0.1:1", false)
	for end := b.now + DefaultLostAfter + time.Second; b.now < end; b.now += 100 * time.Millisecond {
		b.deliver = false
		b.step() // no polls: the engine is silent
	}
	require.Nil(t, b.state.Engine("engine").Outstanding)
	b.poll("engine")
	require.ErrorIs(t, b.order(setRole("engine", v1.Role_ROLE_PREFILL)), ErrEngineBusy)
}

func TestBoundsOnOrders(t *testing.T) {
	prefill, mixed := enginecontract.RolePrefill, enginecontract.RoleMixed
	loadModel := func(engine string) *v1.Order {
		return &v1.Order{Engine: engine, Action: v1.OrderAction_ORDER_ACTION_LOAD_MODEL, Model: "base", Version: "2"}
	}
	loadAdapter := func(engine string) *v1.Order {
		return &v1.Order{Engine: engine, Action: v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER, Adapter: "fine"}
	}
	action := func(engine string, action v1.OrderAction) *v1.Order { return &v1.Order{Engine: engine, Action: action} }
	cases := []struct {
		name   string
		bounds []*v1.Bound
		first  []*v1.Order
		wanted *v1.Order
		err    error
	}{
		{"one engine out of service without a bound", nil, []*v1.Order{setRole("a1", decode)}, setRole("b1", decode), ErrTooManyOutOfService},
		{"two engines out of service with a bound", []*v1.Bound{{Role: decode, MaximumOut: 2}}, []*v1.Order{setRole("a1", decode)}, setRole("b1", decode), nil},
		{"bound of the same zone", []*v1.Bound{{Role: decode, MaximumOut: 3}, {Role: decode, Zone: "zone-a", MaximumOut: 1}},
			[]*v1.Order{setRole("a1", decode)}, setRole("a2", decode), ErrTooManyOutOfService},
		{"bound of another zone", []*v1.Bound{{Role: decode, MaximumOut: 3}, {Role: decode, Zone: "zone-a", MaximumOut: 1}},
			[]*v1.Order{setRole("a1", decode)}, setRole("b1", decode), nil},
		{"a drained engine is out of service", nil, []*v1.Order{action("a1", v1.OrderAction_ORDER_ACTION_DRAIN)}, setRole("b1", decode), ErrTooManyOutOfService},
		{"loading an adapter takes no engine out of service", nil, []*v1.Order{loadAdapter("a1")}, setRole("b1", decode), nil},
		{"minimum of a role", []*v1.Bound{{Role: v1.Role_ROLE_MIXED, Minimum: 3}}, nil, setRole("a1", decode), ErrRoleBound},
		{"minimum of a role in one zone", []*v1.Bound{{Role: v1.Role_ROLE_MIXED, Zone: "zone-a", Minimum: 2}}, nil, setRole("a1", decode), ErrRoleBound},
		{"maximum of a role", []*v1.Bound{{Role: v1.Role_ROLE_PREFILL, Maximum: 1}}, nil, setRole("a1", v1.Role_ROLE_PREFILL), ErrRoleBound},
		{"maximum not reached", []*v1.Bound{{Role: v1.Role_ROLE_PREFILL, Maximum: 2}}, nil, setRole("a1", v1.Role_ROLE_PREFILL), nil},
		{"third load", []*v1.Bound{{Role: decode, MaximumOut: 9}}, []*v1.Order{loadModel("a1"), loadAdapter("a2")}, loadModel("b1"), ErrTooManyLoads},
		{"second order of one engine", nil, []*v1.Order{loadAdapter("a1")}, loadAdapter("a1"), ErrEngineBusy},
		{"unknown engine", nil, nil, setRole("none", decode), ErrEngineUnknown},
		{"the current role", nil, nil, setRole("a1", v1.Role_ROLE_MIXED), ErrEngineState},
		{"resume of an engine that serves", nil, nil, action("a1", v1.OrderAction_ORDER_ACTION_RESUME), ErrEngineState},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 5)
			b.declareService(test.bounds...)
			b.addEngine("a1", "zone-a", mixed)
			b.addEngine("a2", "zone-a", mixed)
			b.addEngine("b1", "zone-b", mixed)
			b.addEngine("b2", "zone-b", prefill)
			b.run(time.Second)
			for _, first := range test.first {
				b.mustOrder(first)
			}
			if test.err == nil {
				b.mustOrder(test.wanted)
				return
			}
			require.ErrorIs(t, b.order(test.wanted), test.err)
		})
	}
}

func TestDrainedEngineIsResumed(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.mustOrder(&v1.Order{Engine: "engine", Action: v1.OrderAction_ORDER_ACTION_DRAIN})
	b.run(2 * time.Second)
	require.True(t, b.state.Engine("engine").Drained)
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrEngineState)
	b.mustOrder(&v1.Order{Engine: "engine", Action: v1.OrderAction_ORDER_ACTION_RESUME})
	b.run(2 * time.Second)
	require.False(t, b.state.Engine("engine").Drained)
	require.Equal(t, enginecontract.StateServing, b.engineState("engine").State)
}

func TestSilentEngineGetsNoOrder(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.now += DefaultMaximumStateAge + time.Second
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrEngineSilent)
}

// TestSilentEngineCountsAgainstTheBound replaces the leader while an engine that has not reported to
// the new one carries out the previous leader's order: no second engine may go out of service.
func TestSilentEngineCountsAgainstTheBound(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("silent", "zone-a", enginecontract.RoleMixed)
	b.addEngine("other", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.mustOrder(setRole("silent", decode))
	b.step()
	delete(b.engines, "silent")
	b.takeOver(6)
	b.commander.SetListing("silent", "", true)
	b.run(time.Second)
	require.ErrorIs(t, b.order(setRole("other", decode)), ErrTooManyOutOfService)
}

func TestSafeguardsOfAuthority(t *testing.T) {
	t.Run("fence", func(t *testing.T) {
		b := newBench(t, 5, SafeguardFence)
		b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("engine", decode))
		b.deliver = false
		b.step()
		late := b.outbox[0]
		b.takeOver(6)
		b.run(2 * time.Second)
		require.Equal(t, aborted, b.state.Orders("engine")[0].Outcome)
		require.True(t, b.exchange(late).answer.Accepted, "without the fence the old leader's order takes effect although the log says aborted")
	})
	t.Run("engines out bound", func(t *testing.T) {
		b := newBench(t, 5, SafeguardOutOfServiceBound)
		b.addEngine("a", "zone-a", enginecontract.RoleMixed)
		b.addEngine("b", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("a", decode))
		b.mustOrder(setRole("b", decode))
	})
	t.Run("one order at a time", func(t *testing.T) {
		b := newBench(t, 5, controlstate.OneOrderAtATime, SafeguardOutOfServiceBound)
		b.addEngine("a", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("a", decode))
		b.mustOrder(setRole("a", v1.Role_ROLE_PREFILL))
	})
}
