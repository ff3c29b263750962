package slotqueue

import (
	"time"

	"github.com/google/btree"
)

// treeDegree is a usual node size for small B-trees.
const treeDegree = 8

// tenantOrder is the order of the requests of one tenant and class: those that can still meet their target by target,
// then the others by deadline.
type tenantOrder struct {
	inTime, late *btree.BTreeG[*entry]
}

func newTenantOrder() tenantOrder {
	return tenantOrder{inTime: btree.NewG(treeDegree, targetOrder), late: btree.NewG(treeDegree, deadlineOrder)}
}

func (o tenantOrder) count() int { return o.inTime.Len() + o.late.Len() }

func (o tenantOrder) add(e *entry) {
	if e.isLate {
		o.late.ReplaceOrInsert(e)
		return
	}
	o.inTime.ReplaceOrInsert(e)
}

func (o tenantOrder) remove(e *entry) {
	if e.isLate {
		o.late.Delete(e)
		return
	}
	o.inTime.Delete(e)
}

// moveLate moves the requests whose target is before completedAt to those that miss their target. completedAt is when a
// request that gets its slot now is expected to be completed.
func (o tenantOrder) moveLate(completedAt time.Duration) {
	for {
		first, found := o.inTime.Min()
		if !found || first.TargetAt >= completedAt {
			return
		}
		o.inTime.Delete(first)
		first.isLate = true
		o.late.ReplaceOrInsert(first)
	}
}

// each visits the requests in order until visit returns false. It reports whether all were visited.
func (o tenantOrder) each(visit func(*entry) bool) bool {
	continues := true
	visitNext := func(e *entry) bool {
		continues = visit(e)
		return continues
	}
	o.inTime.Ascend(visitNext)
	if continues {
		o.late.Ascend(visitNext)
	}
	return continues
}

// countBefore returns the number of requests before e, which is in the order.
func (o tenantOrder) countBefore(e *entry) int {
	tree, count := o.inTime, 0
	if e.isLate {
		tree, count = o.late, o.inTime.Len()
	}
	tree.AscendLessThan(e, func(*entry) bool {
		count++
		return true
	})
	return count
}
