package slotqueue

import (
	"time"

	"github.com/google/btree"
)

// maximumHeld bounds the slots in use that a Queue tracks. A service is expected to have fewer.
const maximumHeld = 16384

// grantTable holds the slots in use that a Queue knows of.
type grantTable struct {
	byID      map[RequestID]*grant
	byAge     *btree.BTreeG[*grant]
	byExpiry  *btree.BTreeG[*grant]
	byBackEnd map[uint64]int
	sequence  uint64
}

func newGrantTable() *grantTable {
	return &grantTable{
		byID:      make(map[RequestID]*grant),
		byAge:     btree.NewG(treeDegree, ageOrder),
		byExpiry:  btree.NewG(treeDegree, expiryOrder),
		byBackEnd: make(map[uint64]int),
	}
}

func (t *grantTable) count() int { return len(t.byID) }

func (t *grantTable) isFull() bool { return len(t.byID) >= maximumHeld }

func (t *grantTable) add(g *grant) {
	t.sequence++
	g.sequence = t.sequence
	t.byID[g.id] = g
	t.byAge.ReplaceOrInsert(g)
	t.byExpiry.ReplaceOrInsert(g)
	t.byBackEnd[g.backEnd]++
}

func (t *grantTable) remove(g *grant) {
	delete(t.byID, g.id)
	t.byAge.Delete(g)
	t.byExpiry.Delete(g)
	t.decrement(g.backEnd)
}

func (t *grantTable) decrement(backEnd uint64) {
	t.byBackEnd[backEnd]--
	if t.byBackEnd[backEnd] == 0 {
		delete(t.byBackEnd, backEnd)
	}
}

// move changes the back end of a grant.
func (t *grantTable) move(g *grant, backEnd uint64) {
	t.decrement(g.backEnd)
	g.backEnd = backEnd
	t.byBackEnd[backEnd]++
}

// confirm records that the relay of a grant has reported, and whether its report lists the grant.
func (t *grantTable) confirm(now time.Duration, g *grant, isListed bool) {
	t.byExpiry.Delete(g)
	g.confirmedAt = now
	if isListed {
		g.isReported = true
		g.leaseUntil = max(g.leaseUntil, now+maximumLease)
	}
	t.byExpiry.ReplaceOrInsert(g)
}

// grantedSince returns the number of slots in use that the Queue itself has granted since a time.
func (t *grantTable) grantedSince(since time.Duration) int {
	count := 0
	t.byAge.AscendGreaterOrEqual(&grant{since: since}, func(g *grant) bool {
		if g.charge != nil {
			count++
		}
		return true
	})
	return count
}

// nthOldest returns the grant that is the nth oldest, from 0.
func (t *grantTable) nthOldest(n int) (found *grant) {
	t.byAge.Ascend(func(g *grant) bool {
		found = g
		n--
		return n >= 0
	})
	return found
}
