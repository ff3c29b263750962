package slotqueue

import (
	"time"

	"github.com/google/btree"
)

const (
	// maximumRemembered is the number of decisions that are kept for repetitions.
	maximumRemembered = 16384
	// memoryAfterDeadline is how long a decision is kept after the request's deadline: repetitions are in flight for less.
	memoryAfterDeadline = 2 * time.Second
)

// memory holds the final decisions of requests, so that repetitions get the same ones.
type memory struct {
	byID     map[RequestID]*remembered
	byDropAt *btree.BTreeG[*remembered]
	sequence uint64
}

type remembered struct {
	decision Decision
	dropAt   time.Duration
	sequence uint64
}

func newMemory() *memory {
	return &memory{byID: make(map[RequestID]*remembered), byDropAt: btree.NewG(treeDegree, dropOrder)}
}

func dropOrder(a, b *remembered) bool {
	if a.dropAt != b.dropAt {
		return a.dropAt < b.dropAt
	}
	return a.sequence < b.sequence
}

// add keeps a decision until some time after the request's deadline. The first decision on a request stays.
func (m *memory) add(decision Decision, deadlineAt time.Duration) {
	if _, exists := m.byID[decision.ID]; exists {
		return
	}
	m.sequence++
	added := &remembered{decision: decision, dropAt: deadlineAt + memoryAfterDeadline, sequence: m.sequence}
	m.byID[decision.ID] = added
	m.byDropAt.ReplaceOrInsert(added)
	if len(m.byID) > maximumRemembered {
		m.dropFirst()
	}
}

// replace changes the decision on a request to another one, which is kept for at least as long as the first.
func (m *memory) replace(decision Decision, deadlineAt time.Duration) {
	known, exists := m.byID[decision.ID]
	if !exists {
		m.add(decision, deadlineAt)
		return
	}
	known.decision = decision
}

// expire drops the decisions whose time has passed.
func (m *memory) expire(now time.Duration) {
	for {
		first, found := m.byDropAt.Min()
		if !found || first.dropAt > now {
			return
		}
		m.dropFirst()
	}
}

func (m *memory) dropFirst() {
	first, _ := m.byDropAt.DeleteMin()
	delete(m.byID, first.decision.ID)
}
