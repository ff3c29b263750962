package simulation

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// submissionKey identifies a submission, which an operator may send several times.
type submissionKey struct{ operator, request string }

// firstAnswer is the first response to a submission.
type firstAnswer struct {
	outcome  v1.ApplyOutcome
	revision uint64
	number   uint64
}

// answerChecks verify the responses to operators: a repeated submission or command gets the first response again, an
// accepted submission is durable, and only one submission gets each change number and each revision.
type answerChecks struct {
	checks    *checks
	durable   map[submissionKey]bool
	first     map[submissionKey]firstAnswer
	messages  map[submissionKey]string // first responses to commands
	winners   map[uint64]submissionKey
	revisions map[uint64]submissionKey
	// accepted counts the accepted changes; highest is the highest revision that an accepted change got.
	accepted int
	highest  uint64
}

func newAnswerChecks(c *checks) answerChecks {
	return answerChecks{
		checks: c, durable: map[submissionKey]bool{}, first: map[submissionKey]firstAnswer{}, messages: map[submissionKey]string{},
		winners: map[uint64]submissionKey{}, revisions: map[uint64]submissionKey{},
	}
}

// recordCommitted records that the submission in a committed command is durable.
func (a *answerChecks) recordCommitted(command *v1.Command) {
	if declaration := command.GetApplyDeclaration(); declaration != nil {
		a.durable[submissionKey{declaration.GetOperator(), declaration.GetRequestId()}] = true
	}
}

// checkApplyAnswered checks that a submission gets the same response each time, and that an accepted one is durable
// and the only one with its number and revision.
func (c *checks) checkApplyAnswered(sent *submission, response *v1.ApplyResponse) {
	c.world.trace.add(c.world.now, sent.operator, "%s is %s at revision %d, number %d", sent.request.GetRequestId(),
		response.GetOutcome(), response.GetRevision(), response.GetChangeNumber())
	key := submissionKey{sent.operator, sent.request.GetRequestId()}
	answer := firstAnswer{outcome: response.GetOutcome(), revision: response.GetRevision(), number: response.GetChangeNumber()}
	if first, known := c.answers.first[key]; known && first != answer {
		c.fail("resends get the first answer", "%s was answered %v, then %v", sent.request.GetRequestId(), first, answer)
	}
	c.answers.first[key] = answer
	if response.GetOutcome() == v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		c.answers.checkAccepted(key, response)
	}
}

// checkCommandAnswered checks that an executed command gets the same response each time.
func (c *checks) checkCommandAnswered(by *operatorClient, request *v1.ExecuteRequest, response *v1.ExecuteResponse) {
	c.world.trace.add(c.world.now, by.name, "%s: %s", request.GetRequestId(), response.GetMessage())
	key := submissionKey{by.name, request.GetRequestId()}
	if first, known := c.answers.messages[key]; known && first != response.GetMessage() {
		c.fail("resends get the first answer", "%s was answered %q, then %q", request.GetRequestId(), first, response.GetMessage())
	}
	c.answers.messages[key] = response.GetMessage()
}

// checkAccepted checks that an accepted submission is committed and that no other submission has its change number or
// revision.
func (a *answerChecks) checkAccepted(key submissionKey, response *v1.ApplyResponse) {
	if !a.durable[key] {
		a.checks.fail("accepted is durable", "%s was accepted and is not committed", key.request)
	}
	if other, isTaken := a.winners[response.GetChangeNumber()]; isTaken && other != key {
		a.checks.fail("one winner", "%s and %s both won number %d", other.request, key.request, response.GetChangeNumber())
	}
	if other, isTaken := a.revisions[response.GetRevision()]; isTaken && other != key {
		a.checks.fail("one winner", "%s and %s are both revision %d", other.request, key.request, response.GetRevision())
	}
	if _, known := a.winners[response.GetChangeNumber()]; !known {
		a.accepted++
	}
	a.winners[response.GetChangeNumber()] = key
	a.revisions[response.GetRevision()] = key
	a.highest = max(a.highest, response.GetRevision())
}
