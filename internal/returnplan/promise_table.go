package returnplan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maximumPromises limits the promises of a service.
	maximumPromises = 8192
	// maximumPerSignature limits the promises for one signature, so that a client that repeats its request does not
	// use up maximumPromises.
	maximumPerSignature = 64
)

// entry is an outstanding promise.
type entry struct {
	Promise
	rank    rank
	account *account
}

// promiseTable holds the outstanding promises.
type promiseTable struct {
	// byTime is sorted by DueAt; the lists of bySignature too.
	byTime      []*entry
	bySignature map[uint64][]*entry
}

func newPromiseTable() *promiseTable { return &promiseTable{bySignature: map[uint64][]*entry{}} }

// canAdd reports whether one more promise for the signature is within the bounds.
func (t *promiseTable) canAdd(signature uint64) bool {
	return len(t.byTime) < maximumPromises && len(t.bySignature[signature]) < maximumPerSignature
}

func (t *promiseTable) add(added *entry) {
	t.byTime = insertByTime(t.byTime, added)
	t.bySignature[added.Signature] = insertByTime(t.bySignature[added.Signature], added)
	added.account.addOutstanding(1)
}

func (t *promiseTable) remove(removed *entry) {
	t.byTime = removeByTime(t.byTime, removed)
	t.removeFromSignature(removed)
}

func (t *promiseTable) removeFromSignature(removed *entry) {
	removed.account.addOutstanding(-1)
	rest := removeByTime(t.bySignature[removed.Signature], removed)
	if len(rest) == 0 {
		delete(t.bySignature, removed.Signature)
		return
	}
	t.bySignature[removed.Signature] = rest
}

// removeDueBefore removes the promises that were due before this time.
func (t *promiseTable) removeDueBefore(at time.Duration) {
	count := indexAt(t.byTime, at)
	for _, expired := range t.byTime[:count] {
		t.removeFromSignature(expired)
	}
	t.byTime = slices.Delete(t.byTime, 0, count)
}

// latestOfOthers returns the time of the last promise of a level for any other signature; 0 if there is none.
func (t *promiseTable) latestOfOthers(level int, signature uint64) time.Duration {
	for _, each := range slices.Backward(t.byTime) {
		if each.Level == level && each.Signature != signature {
			return each.DueAt
		}
	}
	return 0
}

// indexAt returns the index of the first entry that is due at this time or later.
func indexAt(sorted []*entry, at time.Duration) int {
	index, _ := slices.BinarySearchFunc(sorted, at, func(e *entry, t time.Duration) int { return cmp.Compare(e.DueAt, t) })
	return index
}

func insertByTime(sorted []*entry, added *entry) []*entry {
	return slices.Insert(sorted, indexAt(sorted, added.DueAt+1), added)
}

func removeByTime(sorted []*entry, removed *entry) []*entry {
	start := indexAt(sorted, removed.DueAt)
	for i, each := range sorted[start:] {
		if each == removed {
			return slices.Delete(sorted, start+i, start+i+1)
		}
	}
	return sorted
}
