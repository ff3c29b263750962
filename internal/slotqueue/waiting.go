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

// waiting holds the queued requests of a service and the flows of their tenants.
type waiting struct {
	entries  map[RequestID]*entry
	levels   [LevelCount]*level
	sequence uint64
	flows    int
	// byUrgency holds the requests that may be refused, the least urgent last.
	byUrgency *btree.BTreeG[*entry]
	// refusable and mayHaveRun hold the requests that may be refused and those that may have run, by deadline.
	refusable, mayHaveRun *btree.BTreeG[*entry]
}

func newWaiting() *waiting {
	created := &waiting{
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

func (w *waiting) count() int { return len(w.entries) }

// add queues a request.
func (w *waiting) add(now time.Duration, request Request, c class, completedAt time.Duration) *entry {
	w.sequence++
	added := &entry{Request: request, sequence: w.sequence, queuedAt: now, class: c, isLate: request.TargetAt < completedAt}
	added.flow = w.flowOf(request)
	w.entries[request.ID] = added
	w.levels[request.Level].add(added)
	if request.MayHaveRun {
		w.mayHaveRun.ReplaceOrInsert(added)
		return added
	}
	w.refusable.ReplaceOrInsert(added)
	w.byUrgency.ReplaceOrInsert(added)
	return added
}

// remove removes a queued request.
func (w *waiting) remove(e *entry) {
	delete(w.entries, e.ID)
	w.levels[e.Level].remove(e)
	w.refusable.Delete(e)
	w.mayHaveRun.Delete(e)
	w.byUrgency.Delete(e)
	w.dropIdle(e.Level, e.flow)
}

// start removes a request that gets a slot now and charges its tenant the expected slot time.
func (w *waiting) start(e *entry, expected time.Duration) {
	e.flow.held++ // keeps the flow while its last request is removed
	w.remove(e)
	e.flow.held--
	w.levels[e.Level].start(e.flow, expected.Seconds())
}

// finish corrects the charge of a request whose slot is free again.
func (w *waiting) finish(atLevel int, f *flow, beyondExpected time.Duration) {
	w.levels[atLevel].finish(f, beyondExpected.Seconds())
	w.dropIdle(atLevel, f)
}

// each visits the queued requests of the classes up to the last one in order until visit returns false. completedAt is
// when a request that starts now is completed.
func (w *waiting) each(last class, completedAt time.Duration, visit func(*entry) bool) {
	for _, l := range w.levels {
		for c := range last + 1 {
			if !l.each(c, completedAt, visit) {
				return
			}
		}
	}
}

// countBefore returns how many queued requests are expected to get a slot before e.
func (w *waiting) countBefore(e *entry) int {
	return w.countAbove(e.Level) + w.levels[e.Level].countBefore(e)
}

// countAbove returns the number of queued requests that are more urgent than a level.
func (w *waiting) countAbove(below int) int {
	count := 0
	for _, l := range w.levels[:below] {
		count += l.count()
	}
	return count
}

// countAheadOfReturns returns the number of queued requests that get a slot before a client that returns at its time.
func (w *waiting) countAheadOfReturns(ofLevel int) int {
	return w.countAbove(ofLevel) + w.levels[ofLevel].counts[returning]
}

// flowOf returns the flow of a request, a new one if its tenant has none.
func (w *waiting) flowOf(request Request) *flow {
	flows := w.levels[request.Level].flows
	if found, exists := flows[request.Tenant]; exists {
		return found
	}
	tenant := request.Tenant
	if w.flows >= maximumFlows {
		tenant = 0
		if shared, exists := flows[tenant]; exists {
			return shared
		}
	}
	created := newFlow(tenant)
	flows[tenant] = created
	w.flows++
	return created
}

// dropIdle drops a flow without queued requests and without slots. This discards the slot time that it was charged in
// advance, which is at most that of its last requests.
func (w *waiting) dropIdle(atLevel int, f *flow) {
	flows := w.levels[atLevel].flows
	if f.isIdle() && flows[f.tenant] == f {
		delete(flows, f.tenant)
		w.flows--
	}
}
