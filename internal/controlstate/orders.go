package controlstate

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// beginAuthority starts the authority of a new leader. The command's epoch must be higher than the epoch in force.
func (s *State) beginAuthority(begin *v1.BeginAuthority) Result {
	if begin.Epoch <= s.epoch && s.safeguards.IsEnabled(EpochCheck) {
		return Result{Err: trace.Wrap(ErrStaleEpoch, "epoch %d asked for, epoch %d in force", begin.Epoch, s.epoch)}
	}
	s.epoch = begin.Epoch
	s.leader = begin.Leader
	return Result{}
}

// issueOrder makes an order outstanding. The log index becomes its sequence number, so that no
// two orders have the same fence.
func (s *State) issueOrder(index uint64, at int64, issue *v1.IssueOrder) Result {
	first, err := s.FirstAnswer(issue.GetOrder().GetOperator(), issue.RequestId, issue.Text)
	if err != nil {
		return Result{Err: err}
	}
	if first != nil {
		return Result{Answer: first.Answer, Err: recordedError(first)}
	}
	result := s.decideOrder(index, at, issue.Order)
	if result.Err == nil {
		result.Answer = fmt.Sprintf("order %d/%d issued to %s", result.Order.Epoch, result.Order.Sequence, result.Order.Engine)
	}
	s.recordOperatorCommand(at, operatorCommand{
		operator: issue.Order.GetOperator(), requestID: issue.RequestId, text: issue.Text,
	}, result)
	return result
}

func (s *State) decideOrder(index uint64, at int64, proposed *v1.Order) Result {
	record := s.engines[proposed.GetEngine()]
	switch {
	case record == nil:
		return Result{Err: trace.Wrap(ErrUnknownEngine, "engine %q; see `show engines`", proposed.GetEngine())}
	case proposed.Epoch != s.epoch && s.safeguards.IsEnabled(EpochCheck):
		return Result{Err: trace.Wrap(ErrStaleEpoch, "order of epoch %d, epoch %d in force", proposed.Epoch, s.epoch)}
	case record.Outstanding != nil && s.safeguards.IsEnabled(OneOrderAtATime):
		return Result{Err: trace.Wrap(ErrOrderOutstanding, "engine %q holds order %d/%d; wait or abort it",
			proposed.Engine, record.Outstanding.Epoch, record.Outstanding.Sequence)}
	case proposed.Action == v1.OrderAction_ORDER_ACTION_UNSPECIFIED:
		return Result{Err: trace.Wrap(ErrInvalidCommand, "the order to %q has no action", proposed.Engine)}
	}
	order := proto.CloneOf(proposed)
	order.Sequence = index
	order.IssuedAtMs = at
	order.AbortSequence = 0
	s.putEngine(&v1.EngineRecord{
		State: record.State, RoleSinceMs: record.RoleSinceMs, Outstanding: order, Drained: record.Drained,
	})
	return Result{Order: order}
}

// abortOrder marks the outstanding order of an engine for abortion.
func (s *State) abortOrder(index uint64, at int64, abort *v1.AbortOrder) Result {
	first, err := s.FirstAnswer(abort.Operator, abort.RequestId, abort.Text)
	if err != nil {
		return Result{Err: err}
	}
	if first != nil {
		return Result{Answer: first.Answer, Err: recordedError(first)}
	}
	result := s.decideAbort(index, abort)
	s.recordOperatorCommand(at, operatorCommand{
		operator: abort.Operator, requestID: abort.RequestId, text: abort.Text,
	}, result)
	return result
}

func (s *State) decideAbort(index uint64, abort *v1.AbortOrder) Result {
	record := s.engines[abort.Engine]
	switch {
	case record == nil:
		return Result{Err: trace.Wrap(ErrUnknownEngine, "engine %q", abort.Engine)}
	case abort.Epoch != s.epoch && s.safeguards.IsEnabled(EpochCheck):
		return Result{Err: trace.Wrap(ErrStaleEpoch, "abort of epoch %d, epoch %d in force", abort.Epoch, s.epoch)}
	case record.Outstanding == nil || record.Outstanding.Sequence != abort.Sequence:
		return Result{Err: trace.Wrap(ErrNoSuchOrder, "engine %q, sequence %d", abort.Engine, abort.Sequence)}
	}
	answer := fmt.Sprintf("abort of order %d/%d at %s asked for", record.Outstanding.Epoch, abort.Sequence, abort.Engine)
	if record.Outstanding.AbortSequence != 0 {
		return Result{Order: record.Outstanding, Answer: answer}
	}
	order := proto.CloneOf(record.Outstanding)
	order.AbortSequence = index
	order.AbortReason = abort.Reason
	s.putEngine(&v1.EngineRecord{
		State: record.State, RoleSinceMs: record.RoleSinceMs, Outstanding: order, Drained: record.Drained,
	})
	return Result{Order: order, Answer: answer}
}

// finishOrder ends the outstanding order of an engine and records the engine's observed state.
func (s *State) finishOrder(at int64, finish *v1.FinishOrder) Result {
	record := s.engines[finish.Engine]
	if record == nil || record.Outstanding == nil ||
		record.Outstanding.Epoch != finish.Epoch || record.Outstanding.Sequence != finish.Sequence {
		return Result{Err: trace.Wrap(ErrNoSuchOrder, "engine %q, order %d/%d", finish.Engine, finish.Epoch, finish.Sequence)}
	}
	order := record.Outstanding
	s.orders.add(&v1.OrderRecord{Order: order, Outcome: finish.Outcome, Detail: finish.Detail, FinishedAtMs: at})
	ended := &v1.EngineRecord{State: record.State, RoleSinceMs: record.RoleSinceMs, Drained: record.Drained}
	if finish.Outcome == v1.OrderOutcome_ORDER_OUTCOME_DONE {
		ended.Drained = order.Action == v1.OrderAction_ORDER_ACTION_DRAIN
	}
	if finish.Observed != nil {
		ended.State, ended.RoleSinceMs = mergeObservation(record, finish.Observed, at)
	}
	s.putEngine(ended)
	return Result{Order: order}
}

// operatorCommand identifies an operator's command; it is empty for an order of the
// controller itself.
type operatorCommand struct{ operator, requestID, text string }

// recordOperatorCommand stores the answer to an operator's command for resends, and audits the command.
func (s *State) recordOperatorCommand(at int64, command operatorCommand, result Result) {
	if command.operator == "" {
		return
	}
	s.recordAnswer(command.operator, command.requestID, command.text, result.Answer, result.Err)
	outcome := "accepted"
	if result.Err != nil {
		outcome = "refused: " + trace.UserMessage(result.Err)
	}
	s.addAudit(at, &v1.AuditRecord{
		Operator: command.operator, RequestId: command.requestID, Text: command.text, Outcome: outcome,
	})
}

// Orders lists the retained finished orders, oldest first, of one engine or, when engine is
// empty, of all engines.
func (s *State) Orders(engine string) []*v1.OrderRecord {
	if engine == "" {
		return s.orders.all()
	}
	var records []*v1.OrderRecord
	for _, record := range s.orders.all() {
		if record.Order.Engine == engine {
			records = append(records, record)
		}
	}
	return records
}
