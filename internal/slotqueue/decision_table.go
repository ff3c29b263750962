package slotqueue

import (
	"time"

	"github.com/google/btree"
)

const (
	// maximumDecisions is the number of decisions that are kept for repetitions.
	maximumDecisions = 16384
	// decisionRetention is how long a decision is kept after the request's deadline. Repetitions are in flight for less
	// time.
	decisionRetention = 2 * time.Second
)

// decisionTable holds the final decisions of requests, so that repetitions get the same ones.
type decisionTable struct {
	byID     map[RequestID]*keptDecision
	byDropAt *btree.BTreeG[*keptDecision]
	sequence uint64
}

type keptDecision struct {
	decision Decision
	dropAt   time.Duration
	sequence uint64
}

func newDecisionTable() *decisionTable {
	return &decisionTable{byID: make(map[RequestID]*keptDecision), byDropAt: btree.NewG(treeDegree, dropOrder)}
}

func dropOrder(a, b *keptDecision) bool {
	if a.dropAt != b.dropAt {
		return a.dropAt < b.dropAt
	}
	return a.sequence < b.sequence
}

// add keeps a decision until decisionRetention after the request's deadline. It does not replace an earlier decision.
func (t *decisionTable) add(decision Decision, deadlineAt time.Duration) {
	if _, exists := t.byID[decision.ID]; exists {
		return
	}
	t.sequence++
	added := &keptDecision{decision: decision, dropAt: deadlineAt + decisionRetention, sequence: t.sequence}
	t.byID[decision.ID] = added
	t.byDropAt.ReplaceOrInsert(added)
	if len(t.byID) > maximumDecisions {
		t.dropFirst()
	}
}

// replace replaces the decision on a request, if there is one, and keeps its retention; otherwise it adds the decision.
func (t *decisionTable) replace(decision Decision, deadlineAt time.Duration) {
	known, exists := t.byID[decision.ID]
	if !exists {
		t.add(decision, deadlineAt)
		return
	}
	known.decision = decision
}

// expire drops the decisions whose retention has ended.
func (t *decisionTable) expire(now time.Duration) {
	for {
		first, found := t.byDropAt.Min()
		if !found || first.dropAt > now {
			return
		}
		t.dropFirst()
	}
}

func (t *decisionTable) dropFirst() {
	first, _ := t.byDropAt.DeleteMin()
	delete(t.byID, first.decision.ID)
}
