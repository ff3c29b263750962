package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

const testStart = 1_700_000_000_000

// bench combines one leader's commander, the state of the log and the engines; the test controls the
// delivery of the messages between them.
type bench struct {
	t         *testing.T
	now       time.Duration
	index     uint64
	state     *controlstate.State
	commander *Commander
	engines   map[string]*orders.Machine
	inFlight  map[string]int
	// outbox holds the messages that wait for delivery, in order.
	outbox []Action
	// deliver makes step deliver messages at once.
	deliver bool
}

func newBench(t *testing.T, epoch uint64, off ...safeguard.Safeguard) *bench {
	b := &bench{
		t: t, now: time.Hour, state: controlstate.New(safeguard.Without(off...)),
		commander: New(Config{Leader: "leader", Safeguards: safeguard.Without(off...)}),
		engines:   map[string]*orders.Machine{}, inFlight: map[string]int{}, deliver: true,
	}
	b.commander.BeginTerm(b.now, epoch)
	return b
}

// addEngine adds an engine and reports its state to the commander.
func (b *bench) addEngine(name, zone string, role enginecontract.Role) {
	b.engines[name] = b.machine(name, zone, 1, orders.Durable{Role: role, Model: "base", Version: "1"})
	b.commander.SetListing(name, "127.0.0.1:1", true)
	b.poll(name)
}

func (b *bench) machine(name, zone string, incarnation uint64, durable orders.Durable) *orders.Machine {
	return orders.New(orders.Config{
		Engine: name, Service: "assessor", Zone: zone, Incarnation: incarnation,
		RoleChange: 3 * time.Second, WeightLoad: 3 * time.Second, AdapterLoad: time.Second,
	}, durable)
}

func (b *bench) restart(name string) {
	old := b.engines[name].State(0)
	b.engines[name] = b.machine(name, old.Zone, old.Incarnation+1, b.engines[name].Durable())
}

func (b *bench) engineState(name string) enginecontract.EngineState {
	b.engines[name].Advance(b.now, b.inFlight[name])
	return b.engines[name].State(b.inFlight[name])
}

func (b *bench) poll(name string) { b.commander.RecordPollAnswer(b.now, name, b.engineState(name)) }

// apply applies a command as if it was committed.
func (b *bench) apply(command *v1.Command) controlstate.Result {
	b.index++
	command.ProposedAtMs = testStart + b.now.Milliseconds()
	result := b.state.Apply(b.index, command)
	switch body := command.Body.(type) {
	case *v1.Command_RecordEngine:
		b.commander.ClearPendingProposal(body.RecordEngine.Engine.Engine)
	case *v1.Command_FinishOrder:
		b.commander.ClearPendingProposal(body.FinishOrder.Engine)
	case *v1.Command_IssueOrder:
		b.commander.WithdrawOrder(body.IssueOrder.Order.Engine)
	}
	return result
}

// step runs one step of the commander.
func (b *bench) step() {
	for _, action := range b.commander.Step(b.now, b.state) {
		if propose, isProposal := action.(Propose); isProposal {
			b.apply(propose.Command)
			continue
		}
		b.outbox = append(b.outbox, action)
	}
	if b.deliver {
		b.deliverAll()
	}
}

// run alternates steps and polls of all engines for the given time.
func (b *bench) run(span time.Duration) {
	for end := b.now + span; b.now < end; b.now += 100 * time.Millisecond {
		b.step()
		for name := range b.engines {
			b.poll(name)
		}
	}
}

func (b *bench) deliverAll() {
	messages := b.outbox
	b.outbox = nil
	for _, action := range messages {
		b.answer(b.exchange(action))
	}
}

// engineAnswer is an engine's answer on its way to the commander.
type engineAnswer struct {
	action Action
	answer enginecontract.OrderAnswer
}

// exchange delivers a message to its engine.
func (b *bench) exchange(action Action) engineAnswer {
	switch message := action.(type) {
	case SendFence:
		return engineAnswer{action, b.engines[message.Engine].RaiseFence(b.now, enginecontract.Fence{Epoch: message.Epoch}, b.inFlight[message.Engine])}
	case SendOrder:
		return engineAnswer{action, b.engines[message.Engine].Submit(b.now, message.Order, b.inFlight[message.Engine])}
	}
	b.t.Fatalf("%T is no message to an engine", action)
	return engineAnswer{}
}

// answer delivers an engine's answer to the commander.
func (b *bench) answer(delivered engineAnswer) {
	switch message := delivered.action.(type) {
	case SendFence:
		b.commander.RecordFenceAnswer(b.now, message.Engine, message.Epoch, &delivered.answer)
	case SendOrder:
		b.commander.RecordOrderAnswer(b.now, message.Engine, message.Order.Fence, &delivered.answer)
	}
}

// order prepares and commits an order.
func (b *bench) order(order *v1.Order) error {
	issue, err := b.commander.PrepareOrder(b.now, testStart+b.now.Milliseconds(), b.state, order)
	if err != nil {
		return err
	}
	return b.apply(&v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: issue}}).Err
}

func setRole(engine string, role v1.Role) *v1.Order {
	return &v1.Order{Engine: engine, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE, Role: role, Reason: "test"}
}

// mustOrder prepares and commits an order that must be allowed.
func (b *bench) mustOrder(order *v1.Order) {
	b.t.Helper()
	require.NoError(b.t, b.order(order))
}

// abort commits a request to abort the outstanding order of an engine.
func (b *bench) abort(name string) {
	b.t.Helper()
	result := b.apply(&v1.Command{Body: &v1.Command_AbortOrder{AbortOrder: &v1.AbortOrder{
		Engine: name, Sequence: b.state.Engine(name).Outstanding.Sequence, Epoch: b.commander.Epoch(), Reason: "asked"}}})
	require.NoError(b.t, result.Err)
}

// declare applies a declaration of objects.
func (b *bench) declare(objects ...*v1.Object) {
	b.t.Helper()
	result := b.apply(&v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: &v1.ApplyDeclaration{Objects: objects}}})
	require.Equal(b.t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, result.Apply.Outcome, result.Apply.Detail)
}

func (b *bench) declareService(bounds ...*v1.Bound) {
	objects := []*v1.Object{
		{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_MODEL, Name: "base"}, Spec: &v1.Object_Model{Model: &v1.Model{Version: "1"}}},
		{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_SERVICE, Name: "assessor"}, Spec: &v1.Object_Service{
			Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: "base"}}},
	}
	for i, bound := range bounds {
		bound.Service = "assessor"
		objects = append(objects, &v1.Object{
			Key:  &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_BOUND, Name: string(rune('a' + i))},
			Spec: &v1.Object_Bound{Bound: bound},
		})
	}
	b.declare(objects...)
}

// takeOver replaces the commander by that of a new leader, which has only the state of the log.
func (b *bench) takeOver(epoch uint64) {
	b.commander = New(Config{Leader: "next", Safeguards: b.commander.config.Safeguards})
	b.commander.BeginTerm(b.now, epoch)
	for name := range b.engines {
		b.commander.SetListing(name, "127.0.0.1:1", true)
	}
}
