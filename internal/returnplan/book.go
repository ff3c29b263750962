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
	// take the promises of others.
	maximumPerSignature = 64
)

// entry is a promise in the book.
type entry struct {
	Promise
	rank    rank
	account *account
}

// book holds the outstanding promises.
type book struct {
	// byTime is sorted by DueAt; the lists of bySignature too.
	byTime      []*entry
	bySignature map[uint64][]*entry
}

func newBook() *book { return &book{bySignature: map[uint64][]*entry{}} }

// hasSpace reports whether one more promise for the signature is within the bounds.
func (b *book) hasSpace(signature uint64) bool {
	return len(b.byTime) < maximumPromises && len(b.bySignature[signature]) < maximumPerSignature
}

func (b *book) add(added *entry) {
	b.byTime = insertByTime(b.byTime, added)
	b.bySignature[added.Signature] = insertByTime(b.bySignature[added.Signature], added)
	added.account.addOutstanding(1)
}

func (b *book) remove(removed *entry) {
	b.byTime = removeByTime(b.byTime, removed)
	b.removeFromSignature(removed)
}

func (b *book) removeFromSignature(removed *entry) {
	removed.account.addOutstanding(-1)
	rest := removeByTime(b.bySignature[removed.Signature], removed)
	if len(rest) == 0 {
		delete(b.bySignature, removed.Signature)
		return
	}
	b.bySignature[removed.Signature] = rest
}

// removeDueBefore removes the promises that were due before this time.
func (b *book) removeDueBefore(at time.Duration) {
	count := indexAt(b.byTime, at)
	for _, lapsed := range b.byTime[:count] {
		b.removeFromSignature(lapsed)
	}
	b.byTime = slices.Delete(b.byTime, 0, count)
}

// latestOfOthers returns the time of the last promise of a level for any other signature; 0 if there is none.
func (b *book) latestOfOthers(level int, signature uint64) time.Duration {
	for _, each := range slices.Backward(b.byTime) {
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
