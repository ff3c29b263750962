package controlstate

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// applyDeclaration accepts a declaration as one revision, or refuses all of it. The order
// of the checks is guaranteed: a resend gets its first answer before any other check, and
// a taken change number is reported before any other fault.
func (s *State) applyDeclaration(at int64, declaration *v1.ApplyDeclaration) *v1.ApplyResponse {
	hash := declarationHash(declaration)
	if s.safeguards.IsEnabled(ResendDeduplication) {
		first, err := s.requests.find(declaration.Operator, declaration.RequestId, hash)
		if err != nil {
			return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_INVALID, err.Error())
		}
		if first != nil && first.Apply != nil {
			return proto.CloneOf(first.Apply)
		}
	}
	response := s.decideDeclaration(at, declaration)
	s.requests.add(&v1.RequestRecord{
		Operator: declaration.Operator, RequestId: declaration.RequestId, ContentHash: hash, Apply: response,
	})
	s.auditDeclaration(at, declaration, response)
	return proto.CloneOf(response)
}

func (s *State) decideDeclaration(at int64, declaration *v1.ApplyDeclaration) *v1.ApplyResponse {
	if refusal := s.checkSubmission(declaration); refusal != nil {
		return refusal
	}
	change, err := s.planChange(declaration.Objects, declaration.Prune)
	if err == nil {
		err = change.checkSeed(declaration.SaltSeed)
	}
	if err != nil {
		return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_INVALID, trace.UserMessage(err))
	}
	if len(change.keys) == 0 {
		return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED, "")
	}
	return s.accept(at, declaration, change)
}

// checkSubmission checks the declaration apart from its objects; nil means that it passes.
func (s *State) checkSubmission(declaration *v1.ApplyDeclaration) *v1.ApplyResponse {
	number := declaration.ChangeNumber
	if winner, taken := s.changes.findWinner(number); number != 0 && taken && s.safeguards.IsEnabled(ChangeNumberCheck) {
		return s.numberTakenResponse(number, winner)
	}
	if number > s.changes.highest+MaximumChangeNumberStep {
		return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_INVALID, fmt.Sprintf(
			"change number %d is too far above the highest one, %d; choose one up to %d",
			number, s.changes.highest, s.changes.highest+MaximumChangeNumberStep))
	}
	base := declaration.BaseRevision
	if base != 0 && base != s.revision && s.safeguards.IsEnabled(BaseRevisionCheck) {
		return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_STALE, fmt.Sprintf(
			"planned against revision %d, but revision %d is in force; plan again", base, s.revision))
	}
	if len(declaration.RequestId) > MaximumRequestIDBytes {
		return s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_INVALID, fmt.Sprintf(
			"the request identity has %d bytes; at most %d", len(declaration.RequestId), MaximumRequestIDBytes))
	}
	return nil
}

func (s *State) numberTakenResponse(number uint64, winner *v1.ChangeRecord) *v1.ApplyResponse {
	response := s.refusal(v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN, "")
	response.ChangeNumber = number
	if winner == nil {
		response.Detail = fmt.Sprintf(
			"change number %d is not above %d, the highest one that is no longer remembered", number, s.changes.floor)
		return response
	}
	response.Winner = winner.Operator
	response.WinnerRevision = winner.Revision
	response.Detail = fmt.Sprintf("change number %d was won by %s with revision %d",
		number, winner.Operator, winner.Revision)
	return response
}

// refusal returns an answer to a declaration that changes nothing.
func (s *State) refusal(outcome v1.ApplyOutcome, detail string) *v1.ApplyResponse {
	return &v1.ApplyResponse{Outcome: outcome, Revision: s.revision, Detail: detail}
}

// accept applies a planned change as the next revision.
func (s *State) accept(at int64, declaration *v1.ApplyDeclaration, change *change) *v1.ApplyResponse {
	s.revision++
	number := declaration.ChangeNumber
	if number == 0 {
		number = s.changes.highest + 1
	}
	for _, key := range change.keys {
		object := change.objects[key]
		object.Revision = s.revision
		object.AcceptedAtMs = at
		if tenant := object.GetTenant(); tenant != nil && tenant.CacheSalt == "" {
			tenant.CacheSalt = cacheSalt(declaration.SaltSeed, key.Name, s.revision)
		}
		s.catalogue.put(object)
		s.history.add(object)
	}
	s.changes.add(&v1.ChangeRecord{
		Revision: s.revision, ChangeNumber: number, Operator: declaration.Operator,
		RequestId: declaration.RequestId, SourceRevision: declaration.SourceRevision,
		AcceptedAtMs: at, Objects: uint32(len(change.keys)),
	})
	return &v1.ApplyResponse{
		Outcome: v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, Revision: s.revision, ChangeNumber: number,
	}
}

func (s *State) auditDeclaration(at int64, declaration *v1.ApplyDeclaration, response *v1.ApplyResponse) {
	record := &v1.AuditRecord{
		Operator: declaration.Operator, RequestId: declaration.RequestId, Text: declaration.Text,
		Outcome: outcomeName(response.Outcome), SourceRevision: declaration.SourceRevision,
	}
	if response.Outcome == v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		record.Revision = response.Revision
	}
	s.addAudit(at, record)
}

func outcomeName(outcome v1.ApplyOutcome) string {
	switch outcome {
	case v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		return "accepted"
	case v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		return "unchanged"
	case v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN:
		return "number taken"
	case v1.ApplyOutcome_APPLY_OUTCOME_STALE:
		return "stale"
	default:
		return "invalid"
	}
}

// CheckDeclaration returns why a declaration would be refused; nil if it would be accepted. It does not
// check change number and base revision, and changes nothing.
func (s *State) CheckDeclaration(objects []*v1.Object, prune bool) error {
	_, err := s.planChange(objects, prune)
	return trace.Wrap(err)
}

// planChange returns the objects that a declaration changes, after checking the resulting configuration.
func (s *State) planChange(objects []*v1.Object, prune bool) (*change, error) {
	planned := &change{base: s.catalogue, objects: map[Key]*v1.Object{}}
	named := make(map[Key]bool, len(objects))
	for _, declared := range objects {
		if err := checkObject(declared); err != nil {
			return nil, trace.Wrap(err)
		}
		key := KeyOf(declared.Key)
		if named[key] {
			return nil, trace.BadParameter("%s is declared twice; keep one", key)
		}
		named[key] = true
		planned.add(key, declared)
	}
	if prune {
		for key, object := range s.catalogue.objects {
			if !object.Deleted && !named[key] {
				planned.remove(key)
			}
		}
	}
	slices.SortFunc(planned.keys, Key.Compare)
	if err := planned.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	return planned, nil
}
