package controlstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestOrdersAreIssuedOneAtATimeUnderTheEpoch(t *testing.T) {
	s := newTestState(t)
	require.ErrorIs(t, s.issue(0, "engine").Err, ErrUnknownEngine)
	require.NoError(t, s.record(engineState("engine", v1.Role_ROLE_MIXED, 1)).Err)
	require.NoError(t, s.begin(3).Err)
	require.ErrorIs(t, s.begin(3).Err, ErrStaleEpoch)
	require.ErrorIs(t, s.begin(2).Err, ErrStaleEpoch)
	require.ErrorIs(t, s.issue(2, "engine").Err, ErrStaleEpoch)
	first := s.issue(3, "engine")
	require.NoError(t, first.Err)
	require.Equal(t, s.index, first.Order.Sequence)
	require.ErrorIs(t, s.issue(3, "engine").Err, ErrOrderOutstanding)
	require.NoError(t, s.begin(4).Err)
	require.ErrorIs(t, s.issue(4, "engine").Err, ErrOrderOutstanding, "a new leader has to finish the outstanding order first")
	require.NoError(t, s.finish(first.Order, v1.OrderOutcome_ORDER_OUTCOME_DONE, engineState("engine", v1.Role_ROLE_DECODE, 1)).Err)
	require.ErrorIs(t, s.finish(first.Order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, nil).Err, ErrNoSuchOrder, "the first outcome stands")
	second := s.issue(4, "engine")
	require.NoError(t, second.Err)
	require.Greater(t, second.Order.Sequence, first.Order.Sequence)
	require.Len(t, s.Orders("engine"), 1)
	require.Equal(t, v1.Role_ROLE_DECODE, s.Engine("engine").State.Role)
}

func TestSafeguardsOfOrders(t *testing.T) {
	s := newTestState(t, OneOrderAtATime, EpochCheck)
	s.record(engineState("engine", v1.Role_ROLE_MIXED, 1))
	s.begin(3)
	require.NoError(t, s.issue(3, "engine").Err)
	require.NoError(t, s.issue(2, "engine").Err, "a second order, of a leader without authority")
}

func TestOperatorOrderIsRecordedAndAudited(t *testing.T) {
	s := newTestState(t)
	s.record(engineState("engine", v1.Role_ROLE_MIXED, 1))
	s.begin(1)
	issue := func(text string) Result {
		return s.run(&v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: &v1.IssueOrder{
			RequestId: "r", Text: text, Order: &v1.Order{
				Engine: "engine", Epoch: 1, Operator: "alice", Action: v1.OrderAction_ORDER_ACTION_DRAIN},
		}}})
	}
	first := issue("drain engine engine")
	require.NoError(t, first.Err)
	s.finish(first.Order, v1.OrderOutcome_ORDER_OUTCOME_DONE, nil)
	require.True(t, s.Engine("engine").Drained)
	again := issue("drain engine engine")
	require.NoError(t, again.Err)
	require.Equal(t, first.Answer, again.Answer)
	require.Nil(t, s.Engine("engine").Outstanding, "a resend issues no order")
	require.ErrorIs(t, issue("resume engine engine").Err, ErrRequestReused)
	require.Len(t, s.Audit(), 1)
	require.Equal(t, "alice", s.Audit()[0].Operator)
}

func TestAbortIsRecordedWithItsOrder(t *testing.T) {
	s := newTestState(t)
	s.record(engineState("engine", v1.Role_ROLE_MIXED, 1))
	s.begin(1)
	order := s.issue(1, "engine").Order
	abort := func(sequence, epoch uint64) Result {
		return s.run(&v1.Command{Body: &v1.Command_AbortOrder{AbortOrder: &v1.AbortOrder{
			Engine: "engine", Sequence: sequence, Epoch: epoch}}})
	}
	require.ErrorIs(t, abort(order.Sequence+1, 1).Err, ErrNoSuchOrder)
	require.ErrorIs(t, abort(order.Sequence, 9).Err, ErrStaleEpoch)
	require.NoError(t, abort(order.Sequence, 1).Err)
	abortSequence := s.Engine("engine").Outstanding.AbortSequence
	require.Equal(t, s.index, abortSequence)
	require.NoError(t, abort(order.Sequence, 1).Err)
	require.Equal(t, abortSequence, s.Engine("engine").Outstanding.AbortSequence, "the first abort stands")
}

func TestEngineRecords(t *testing.T) {
	s := newTestState(t)
	s.record(engineState("engine", v1.Role_ROLE_MIXED, 2))
	since := s.Engine("engine").RoleSinceMs
	s.record(engineState("engine", v1.Role_ROLE_MIXED, 3))
	require.Equal(t, since, s.Engine("engine").RoleSinceMs, "a restart in the same role")
	require.ErrorIs(t, s.record(engineState("engine", v1.Role_ROLE_DECODE, 2)).Err, ErrInvalidCommand, "a late report of an earlier incarnation")
	s.begin(1)
	order := s.issue(1, "engine").Order
	remove := func() {
		s.run(&v1.Command{Body: &v1.Command_RecordEngine{RecordEngine: &v1.RecordEngine{
			Engine: &v1.EngineState{Engine: "engine"}, Removed: true}}})
	}
	remove()
	require.NotNil(t, s.Engine("engine"), "an engine that may hold an order is retained")
	s.finish(order, v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST, nil)
	remove()
	require.Nil(t, s.Engine("engine"))
	require.ErrorIs(t, s.record(engineState("", v1.Role_ROLE_MIXED, 1)).Err, ErrInvalidCommand)
}
