package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
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
	require.Equal(t, []Action{SendFence{Engine: "engine", Address: "127.0.0.1:1", Epoch: 5}}, b.sent)
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrNoAuthority)
	b.deliverAll()
	b.step()
	b.mustOrder(setRole("engine", decode))
	b.step()
	require.Len(t, b.sent, 1)
	require.IsType(t, SendOrder{}, b.sent[0])
}

// TestAnswersOfEngines brings the answers of an engine late, twice, crossed or not at
// all, and breaks engine and leader, at the moment an order has been committed.
func TestAnswersOfEngines(t *testing.T) {
	cases := []struct {
		name    string
		happens func(*bench)
		outcome v1.OrderOutcome
		role    enginecontract.Role
	}{
		{"all well", func(*bench) {}, done, enginecontract.RoleDecode},
		{"order answered twice", func(b *bench) {
			b.step()
			answer := b.exchange(b.sent[0])
			b.answer(answer)
			b.answer(answer)
		}, done, enginecontract.RoleDecode},
		{"order delivered twice, answers crossed", func(b *bench) {
			b.step()
			first, second := b.exchange(b.sent[0]), b.exchange(b.sent[0])
			b.answer(second)
			b.answer(first)
		}, done, enginecontract.RoleDecode},
		{"order lost", func(b *bench) {
			b.step()
			b.commander.OrderAnswered(b.now, "engine", b.sent[0].(SendOrder).Order.Fence, nil)
			b.sent = nil
		}, done, enginecontract.RoleDecode},
		{"answer lost", func(b *bench) {
			b.step()
			b.exchange(b.sent[0])
			b.commander.OrderAnswered(b.now, "engine", b.sent[0].(SendOrder).Order.Fence, nil)
			b.sent = nil
		}, done, enginecontract.RoleDecode},
		{"poll from before the order arrives after its answer", func(b *bench) {
			before, sentAt := b.engineState("engine"), b.now
			b.now += time.Millisecond
			b.step()
			b.answer(b.exchange(b.sent[0]))
			b.sent = nil
			b.commander.Observed(sentAt, "engine", before)
		}, done, enginecontract.RoleDecode},
		{"engine restarts before the order arrives", func(b *bench) { b.restart("engine") }, done, enginecontract.RoleDecode},
		{"engine restarts in the middle", func(b *bench) {
			b.step()
			b.deliverAll()
			b.now += time.Second
			b.restart("engine")
		}, engineLost, enginecontract.RoleMixed},
		{"drain takes too long", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.run(DefaultDrainTime)
		}, aborted, enginecontract.RoleMixed},
		{"aborted while draining", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.abort("engine")
		}, aborted, enginecontract.RoleMixed},
		{"aborted before it was sent", func(b *bench) { b.abort("engine") }, aborted, enginecontract.RoleMixed},
		{"abort overtakes the order", func(b *bench) {
			b.step()
			order := b.sent
			b.sent = nil
			b.abort("engine")
			b.deliver = true
			b.run(time.Second)
			b.exchange(order[0])
		}, aborted, enginecontract.RoleMixed},
		{"aborted while changing", func(b *bench) {
			b.step()
			b.deliverAll()
			b.now += time.Second
			b.abort("engine")
		}, done, enginecontract.RoleDecode},
		{"engine holds another role", func(b *bench) {
			kept := b.engines["engine"].Durable()
			kept.Role = enginecontract.RolePrefill
			b.engines["engine"] = b.machine("engine", "zone-a", 1, kept)
		}, refused, enginecontract.RolePrefill},
		{"a stranger's fence is higher", func(b *bench) {
			b.engines["engine"].Fence(b.now, enginecontract.Fence{Epoch: 9}, 0)
		}, refused, enginecontract.RoleMixed},
		{"new leader, order never arrived", func(b *bench) { b.takeOver(6) }, aborted, enginecontract.RoleMixed},
		{"new leader, late copy of the order", func(b *bench) {
			b.step()
			late := b.sent
			b.sent = nil
			b.takeOver(6)
			b.deliver = true
			b.run(2 * time.Second)
			b.exchange(late[0])
		}, aborted, enginecontract.RoleMixed},
		{"new leader, engine drains", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.takeOver(6)
			b.run(2 * time.Second)
			b.inFlight["engine"] = 0
		}, done, enginecontract.RoleDecode},
		{"new leader, engine is done", func(b *bench) {
			b.step()
			b.deliverAll()
			b.now += 5 * time.Second
			b.takeOver(6)
		}, done, enginecontract.RoleDecode},
		{"new leader, aborted by the old one", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.abort("engine")
			b.takeOver(6)
		}, aborted, enginecontract.RoleMixed},
		{"engine is gone", func(b *bench) {
			delete(b.engines, "engine")
			b.commander.List("engine", "127.0.0.1:1", false)
			b.deliver = false
			b.run(DefaultLostAfter + time.Second)
		}, engineLost, ""},
		{"engine is gone, new leader", func(b *bench) {
			delete(b.engines, "engine")
			b.deliver = false
			b.takeOver(6)
			b.run(listedPatience*DefaultLostAfter + time.Second)
		}, engineLost, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 5)
			b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
			b.run(time.Second)
			b.mustOrder(setRole("engine", decode))
			b.deliver = false
			test.happens(b)
			b.deliver = len(b.engines) > 0
			b.run(20 * time.Second)
			ended := b.state.Orders("engine")
			require.Len(t, ended, 1)
			require.Equal(t, test.outcome.String(), ended[0].Outcome.String(), ended[0].Detail)
			require.Nil(t, b.state.Engine("engine").Outstanding)
			if len(b.engines) > 0 {
				require.Equal(t, test.role, b.engineState("engine").Role)
				require.Equal(t, engineroles.FromContract(test.role), b.state.Engine("engine").State.Role, "the log knows what the engine is")
			}
		})
	}
}

func TestLostEngineGetsNoOrderWhileItStillCarriesOutTheOldOne(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.inFlight["engine"] = 1
	order := setRole("engine", decode)
	order.DeadlineMs = testStart + (b.now + time.Hour).Milliseconds()
	b.mustOrder(order)
	b.step()
	b.commander.List("engine", "127.0.0.1:1", false)
	for end := b.now + DefaultLostAfter + time.Second; b.now < end; b.now += 100 * time.Millisecond {
		b.deliver = false
		b.step() // silent: no polls
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
		{"one out without a bound", nil, []*v1.Order{setRole("a1", decode)}, setRole("b1", decode), ErrTooManyOut},
		{"two out with a bound", []*v1.Bound{{Role: decode, MaximumOut: 2}}, []*v1.Order{setRole("a1", decode)}, setRole("b1", decode), nil},
		{"the zone's own bound", []*v1.Bound{{Role: decode, MaximumOut: 3}, {Role: decode, Zone: "zone-a", MaximumOut: 1}},
			[]*v1.Order{setRole("a1", decode)}, setRole("a2", decode), ErrTooManyOut},
		{"another zone's bound", []*v1.Bound{{Role: decode, MaximumOut: 3}, {Role: decode, Zone: "zone-a", MaximumOut: 1}},
			[]*v1.Order{setRole("a1", decode)}, setRole("b1", decode), nil},
		{"a drained engine is out", nil, []*v1.Order{action("a1", v1.OrderAction_ORDER_ACTION_DRAIN)}, setRole("b1", decode), ErrTooManyOut},
		{"an adapter takes no one out", nil, []*v1.Order{loadAdapter("a1")}, setRole("b1", decode), nil},
		{"minimum of a role", []*v1.Bound{{Role: v1.Role_ROLE_MIXED, Minimum: 3}}, nil, setRole("a1", decode), ErrRoleBound},
		{"minimum of a role in one zone", []*v1.Bound{{Role: v1.Role_ROLE_MIXED, Zone: "zone-a", Minimum: 2}}, nil, setRole("a1", decode), ErrRoleBound},
		{"maximum of a role", []*v1.Bound{{Role: v1.Role_ROLE_PREFILL, Maximum: 1}}, nil, setRole("a1", v1.Role_ROLE_PREFILL), ErrRoleBound},
		{"maximum not reached", []*v1.Bound{{Role: v1.Role_ROLE_PREFILL, Maximum: 2}}, nil, setRole("a1", v1.Role_ROLE_PREFILL), nil},
		{"third load", []*v1.Bound{{Role: decode, MaximumOut: 9}}, []*v1.Order{loadModel("a1"), loadAdapter("a2")}, loadModel("b1"), ErrTooManyLoads},
		{"second order of one engine", nil, []*v1.Order{loadAdapter("a1")}, loadAdapter("a1"), ErrEngineBusy},
		{"unknown engine", nil, nil, setRole("none", decode), ErrEngineUnknown},
		{"the role it plays", nil, nil, setRole("a1", v1.Role_ROLE_MIXED), ErrEngineState},
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
	b.now += DefaultFreshness + time.Second
	require.ErrorIs(t, b.order(setRole("engine", decode)), ErrEngineSilent)
}

func TestSafeguardsOfAuthority(t *testing.T) {
	t.Run("fence", func(t *testing.T) {
		b := newBench(t, 5, SafeguardFence)
		b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("engine", decode))
		b.deliver = false
		b.step()
		late := b.sent[0]
		b.takeOver(6)
		b.run(2 * time.Second)
		require.Equal(t, aborted, b.state.Orders("engine")[0].Outcome)
		require.True(t, b.exchange(late).answer.Accepted, "the old leader's order takes effect although the log says aborted")
	})
	t.Run("engines out bound", func(t *testing.T) {
		b := newBench(t, 5, SafeguardOutBound)
		b.addEngine("a", "zone-a", enginecontract.RoleMixed)
		b.addEngine("b", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("a", decode))
		b.mustOrder(setRole("b", decode))
	})
	t.Run("one order at a time", func(t *testing.T) {
		b := newBench(t, 5, controlstate.OneOrderAtATime, SafeguardOutBound)
		b.addEngine("a", "zone-a", enginecontract.RoleMixed)
		b.run(time.Second)
		b.mustOrder(setRole("a", decode))
		b.mustOrder(setRole("a", v1.Role_ROLE_PREFILL))
	})
}
