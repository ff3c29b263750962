package slotqueue

import (
	"time"

	"github.com/google/btree"
)

const (
	// maximumQueued is the number of queued requests of a service: more than its slots serve within a usual deadline.
	maximumQueued = 2048
	// maximumFlows is the number of flows of all levels. Tenants beyond it share the flow of requests without a tenant.
	maximumFlows = 4096
)

// requestQueue holds the queued requests of a service and the flows of their tenants.
type requestQueue struct {
	entries  map[RequestID]*entry
	levels   [LevelCount]*level
	sequence uint64
	flows    int
	// byUrgency holds the requests that may be refused, the least urgent last.
	byUrgency *btree.BTreeG[*entry]
	// refusable and mayHaveRun hold the requests that may be refused and those that may have run, by deadline.
	refusable, mayHaveRun *btree.BTreeG[*entry]
}

func newRequestQueue() *requestQueue {
	created := &requestQueue{
		entries:    make(map[RequestID]*entry),
		byUrgency:  btree.NewG(treeDegree, urgencyOrder),
		refusable:  btree.NewG(treeDegree, deadlineOrder),
		mayHaveRun: btree.NewG(treeDegree, deadlineOrder),
	}
	for i := range created.levels {
		created.levels[i] = newLevel()
	}
	return created
}

func (r *requestQueue) count() int { return len(r.entries) }

func (r *requestQueue) add(now time.Duration, request Request, c class, completedAt time.Duration) *entry {
	r.sequence++
	added := &entry{Request: request, sequence: r.sequence, queuedAt: now, class: c, isLate: request.TargetAt < completedAt}
	added.flow = r.flowOf(request)
	r.entries[request.ID] = added
	r.levels[request.Level].add(added)
	if request.MayHaveRun {
		r.mayHaveRun.ReplaceOrInsert(added)
		return added
	}
	r.refusable.ReplaceOrInsert(added)
	r.byUrgency.ReplaceOrInsert(added)
	return added
}

func (r *requestQueue) remove(e *entry) {
	delete(r.entries, e.ID)
	r.levels[e.Level].remove(e)
	r.refusable.Delete(e)
	r.mayHaveRun.Delete(e)
	r.byUrgency.Delete(e)
	r.dropIdle(e.Level, e.flow)
}

// start removes a request that gets a slot now and charges its tenant the expected slot time.
func (r *requestQueue) start(e *entry, expected time.Duration) {
	e.flow.held++ // prevents dropIdle from deleting the flow
	r.remove(e)
	e.flow.held--
	r.levels[e.Level].start(e.flow, expected.Seconds())
}

// finish corrects the charge of a request whose slot is free again.
func (r *requestQueue) finish(atLevel int, f *flow, beyondExpected time.Duration) {
	r.levels[atLevel].finish(f, beyondExpected.Seconds())
	r.dropIdle(atLevel, f)
}

// each visits the queued requests of the classes up to the last one in order until visit returns false. completedAt is
// when a request that gets its slot now is expected to be completed.
func (r *requestQueue) each(last class, completedAt time.Duration, visit func(*entry) bool) {
	for _, l := range r.levels {
		for c := range last + 1 {
			if !l.each(c, completedAt, visit) {
				return
			}
		}
	}
}

// countBefore returns how many queued requests are expected to get a slot before e.
func (r *requestQueue) countBefore(e *entry) int {
	return r.countMoreUrgent(e.Level) + r.levels[e.Level].countBefore(e)
}

// countMoreUrgent returns the number of queued requests that are more urgent than thanLevel.
func (r *requestQueue) countMoreUrgent(thanLevel int) int {
	count := 0
	for _, l := range r.levels[:thanLevel] {
		count += l.count()
	}
	return count
}

// countAheadOfReturns returns the number of queued requests that get a slot before a client that returns at its time.
func (r *requestQueue) countAheadOfReturns(ofLevel int) int {
	return r.countMoreUrgent(ofLevel) + r.levels[ofLevel].counts[returning]
}

// flowOf returns the flow of a request, a new one if its tenant has none.
func (r *requestQueue) flowOf(request Request) *flow {
	flows := r.levels[request.Level].flows
	if found, exists := flows[request.Tenant]; exists {
		return found
	}
	tenant := request.Tenant
	if r.flows >= maximumFlows {
		tenant = 0
		if shared, exists := flows[tenant]; exists {
			return shared
		}
	}
	created := newFlow(tenant)
	flows[tenant] = created
	r.flows++
	return created
}

// dropIdle drops a flow without queued requests and without slots. This discards the slot time that it was charged in
// advance, which is at most that of its last requests.
func (r *requestQueue) dropIdle(atLevel int, f *flow) {
	flows := r.levels[atLevel].flows
	if f.isIdle() && flows[f.tenant] == f {
		delete(flows, f.tenant)
		r.flows--
	}
}
