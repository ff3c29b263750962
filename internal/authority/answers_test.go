package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// answerCase is an event after an order to change an engine's role from mixed to decode was
// committed, and how the order ends.
type answerCase struct {
	name    string
	event   func(*bench)
	outcome v1.OrderOutcome
	// finalRole is the engine's role at the end; empty when the engine is gone.
	finalRole enginecontract.Role
}

// deliveryCases deliver the order and its answers late, twice, reordered or not at all.
func deliveryCases() []answerCase {
	return []answerCase{
		{"no fault", func(*bench) {}, done, enginecontract.RoleDecode},
		{"order answered twice", func(b *bench) {
			b.step()
			answer := b.exchange(b.outbox[0])
			b.answer(answer)
			b.answer(answer)
		}, done, enginecontract.RoleDecode},
		{"order delivered twice, answers reordered", func(b *bench) {
			b.step()
			first, second := b.exchange(b.outbox[0]), b.exchange(b.outbox[0])
			b.answer(second)
			b.answer(first)
		}, done, enginecontract.RoleDecode},
		{"order lost", func(b *bench) {
			b.step()
			b.commander.RecordOrderAnswer(b.now, "engine", b.outbox[0].(SendOrder).Order.Fence, nil)
			b.outbox = nil
		}, done, enginecontract.RoleDecode},
		{"answer lost", func(b *bench) {
			b.step()
			b.exchange(b.outbox[0])
			b.commander.RecordOrderAnswer(b.now, "engine", b.outbox[0].(SendOrder).Order.Fence, nil)
			b.outbox = nil
		}, done, enginecontract.RoleDecode},
		{"poll from before the order arrives after its answer", func(b *bench) {
			before, sentAt := b.engineState("engine"), b.now
			b.now += time.Millisecond
			b.step()
			b.answer(b.exchange(b.outbox[0]))
			b.outbox = nil
			b.commander.RecordPollAnswer(sentAt, "engine", before)
		}, done, enginecontract.RoleDecode},
	}
}

// engineFaultCases make the engine fail, or put it into a state that differs from the log.
func engineFaultCases() []answerCase {
	return []answerCase{
		{"engine restarts before the order arrives", func(b *bench) { b.restart("engine") }, done, enginecontract.RoleDecode},
		{"engine restarts while it carries out the order", func(b *bench) {
			b.step()
			b.deliverAll()
			b.now += time.Second
			b.restart("engine")
		}, engineLost, enginecontract.RoleMixed},
		{"drain takes too long", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.run(DefaultDrainTimeout)
		}, aborted, enginecontract.RoleMixed},
		{"engine has another role", func(b *bench) {
			durable := b.engines["engine"].Durable()
			durable.Role = enginecontract.RolePrefill
			b.engines["engine"] = b.machine("engine", "zone-a", 1, durable)
		}, refused, enginecontract.RolePrefill},
		{"the engine has a higher fence", func(b *bench) {
			b.engines["engine"].RaiseFence(b.now, enginecontract.Fence{Epoch: 9}, 0)
		}, refused, enginecontract.RoleMixed},
		{"engine is gone", func(b *bench) {
			delete(b.engines, "engine")
			b.commander.SetListing("engine", "127.0.0.1:1", false)
			b.deliver = false
			b.run(DefaultLostAfter + time.Second)
		}, engineLost, ""},
	}
}

// abortCases abort the order in each of its phases.
func abortCases() []answerCase {
	return []answerCase{
		{"aborted while draining", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.abort("engine")
		}, aborted, enginecontract.RoleMixed},
		{"aborted before it was sent", func(b *bench) { b.abort("engine") }, aborted, enginecontract.RoleMixed},
		{"abort overtakes the order", func(b *bench) {
			b.step()
			order := b.outbox
			b.outbox = nil
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
	}
}

// newLeaderCases replace the leader in each phase of the order.
func newLeaderCases() []answerCase {
	return []answerCase{
		{"new leader, order never arrived", func(b *bench) { b.takeOver(6) }, aborted, enginecontract.RoleMixed},
		{"new leader, late copy of the order", func(b *bench) {
			b.step()
			late := b.outbox
			b.outbox = nil
			b.takeOver(6)
			b.deliver = true
			b.run(2 * time.Second)
			b.exchange(late[0])
		}, aborted, enginecontract.RoleMixed},
		{"new leader, engine is draining", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.takeOver(6)
			b.run(2 * time.Second)
			b.inFlight["engine"] = 0
		}, done, enginecontract.RoleDecode},
		{"new leader, engine has finished", func(b *bench) {
			b.step()
			b.deliverAll()
			b.now += 5 * time.Second
			b.takeOver(6)
		}, done, enginecontract.RoleDecode},
		{"new leader, aborted by the previous one", func(b *bench) {
			b.inFlight["engine"] = 1
			b.step()
			b.deliverAll()
			b.abort("engine")
			b.takeOver(6)
		}, aborted, enginecontract.RoleMixed},
		{"engine is gone, new leader", func(b *bench) {
			delete(b.engines, "engine")
			b.deliver = false
			b.takeOver(6)
			b.run(listedTimeoutFactor*DefaultLostAfter + time.Second)
		}, engineLost, ""},
	}
}

// TestAnswersOfEngines delivers an engine's answers late, twice, reordered or not at all, and fails
// engine and leader, after an order was committed. Each order must end once, with the right outcome.
func TestAnswersOfEngines(t *testing.T) {
	for _, cases := range [][]answerCase{deliveryCases(), engineFaultCases(), abortCases(), newLeaderCases()} {
		for _, test := range cases {
			t.Run(test.name, test.run)
		}
	}
}

func (c answerCase) run(t *testing.T) {
	b := newBench(t, 5)
	b.addEngine("engine", "zone-a", enginecontract.RoleMixed)
	b.run(time.Second)
	b.mustOrder(setRole("engine", decode))
	b.deliver = false
	c.event(b)
	b.deliver = len(b.engines) > 0
	b.run(20 * time.Second)
	ended := b.state.Orders("engine")
	require.Len(t, ended, 1)
	require.Equal(t, c.outcome.String(), ended[0].Outcome.String(), ended[0].Detail)
	require.Nil(t, b.state.Engine("engine").Outstanding)
	if len(b.engines) > 0 {
		require.Equal(t, c.finalRole, b.engineState("engine").Role)
		require.Equal(t, engineroles.FromContract(c.finalRole), b.state.Engine("engine").State.Role, "the log must record the engine's role")
	}
}
