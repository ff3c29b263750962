package consensus

import "github.com/hazelpitch/hazelpitch/internal/voterplan"

// retainedDecisions is the number of decisions that Status returns.
const retainedDecisions = 64

// NumberedDecision is a decision of this member as a leader. Number counts the decisions since the start of the process,
// from 1.
type NumberedDecision struct {
	voterplan.Decision
	Number uint64
}

// decisionRecord holds the last decisions on members, for logs.
type decisionRecord struct {
	recent []NumberedDecision
	last   uint64
	// unchanged holds the reason for which each silent voter is kept and each learner waits, so that each reason is
	// recorded once.
	unchanged map[string]voterplan.Reason
}

// add records a decision.
func (r *decisionRecord) add(decision voterplan.Decision) {
	r.last++
	r.recent = append(r.recent, NumberedDecision{Decision: decision, Number: r.last})
	if len(r.recent) > retainedDecisions {
		r.recent = append(r.recent[:0:0], r.recent[len(r.recent)-retainedDecisions:]...)
	}
}

// setUnchanged records the decisions to leave members as they are, except those that it was given in the last call, too.
func (r *decisionRecord) setUnchanged(decisions []voterplan.Decision) {
	reasons := make(map[string]voterplan.Reason, len(decisions))
	for _, decision := range decisions {
		reasons[decision.MemberID] = decision.Reason
		if r.unchanged[decision.MemberID] != decision.Reason {
			r.add(decision)
		}
	}
	r.unchanged = reasons
}

// voterCounts counts the voters, and those of them that are not silent.
func (c *Core) voterCounts() voterplan.Counts { return c.voterRules().Count(c.plannedMembers()) }
