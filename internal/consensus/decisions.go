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
	// kept holds the reason for which each silent voter is kept, so that each reason is recorded once.
	kept map[string]voterplan.Reason
}

// add records a decision.
func (r *decisionRecord) add(decision voterplan.Decision) {
	r.last++
	r.recent = append(r.recent, NumberedDecision{Decision: decision, Number: r.last})
	if len(r.recent) > retainedDecisions {
		r.recent = append(r.recent[:0:0], r.recent[len(r.recent)-retainedDecisions:]...)
	}
}

// setKept records the decisions to keep silent voters, except those that were recorded when it was called last.
func (r *decisionRecord) setKept(decisions []voterplan.Decision) {
	kept := make(map[string]voterplan.Reason, len(decisions))
	for _, decision := range decisions {
		kept[decision.MemberID] = decision.Reason
		if r.kept[decision.MemberID] != decision.Reason {
			r.add(decision)
		}
	}
	r.kept = kept
}

// voterCounts counts the voters, and those of them that are not silent.
func (c *Core) voterCounts() voterplan.Counts { return c.voterRules().Count(c.plannedMembers()) }
