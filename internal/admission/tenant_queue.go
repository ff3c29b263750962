package admission

import "github.com/google/btree"

// treeDegree is a usual node size for small B-trees.
const treeDegree = 8

// tenantQueue holds one tenant's waiting requests and its position in the service order.
type tenantQueue struct {
	tenant  string
	weight  float64
	entries *btree.BTreeG[*entry]
	// cost is the sum of the costs of entries.
	cost float64
	// startTag is the virtual start time of the next request; finishTag is the virtual finish
	// time of the last request started.
	startTag  float64
	finishTag float64
	inFlight  int
}

func newTenantQueue(tenant string, firstInFirstOut bool) *tenantQueue {
	order := (*entry).before
	if firstInFirstOut {
		order = func(a, b *entry) bool { return a.sequence < b.sequence }
	}
	return &tenantQueue{tenant: tenant, weight: 1, entries: btree.NewG(treeDegree, order)}
}

func (q *tenantQueue) add(e *entry) {
	q.entries.ReplaceOrInsert(e)
	q.cost += e.cost
}

func (q *tenantQueue) remove(e *entry) {
	if _, found := q.entries.Delete(e); found {
		q.cost -= e.cost
	}
	if q.entries.Len() == 0 {
		q.cost = 0 // discard rounding errors
	}
}

// costBefore returns the cost of the tenant's entries that are served before e.
func (q *tenantQueue) costBefore(e *entry) float64 {
	var cost float64
	q.entries.AscendLessThan(e, func(ahead *entry) bool {
		cost += ahead.cost
		return true
	})
	return cost
}

// fairOrder orders tenants by start tag, smallest first.
func fairOrder(a, b *tenantQueue) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.tenant < b.tenant
}
