package admission

import (
	"time"

	"github.com/google/btree"
	"github.com/gravitational/trace"
)

// Core is the admission queue of one service at one gateway. The package comment describes
// its concurrency contract.
type Core struct {
	config    Config
	window    window
	rate      serviceRate
	latencies latencyTracker
	prefill   prefillBacklog
	sequence  uint64

	tenants map[string]*tenantQueue
	// waiting holds the tenants with waiting requests, by start tag.
	waiting *btree.BTreeG[*tenantQueue]
	// weightSum is the sum of the weights of the tenants in waiting.
	weightSum   float64
	virtualTime float64
	// byLatestStart holds every waiting request, by its latest start.
	byLatestStart *btree.BTreeG[*entry]
	entries       map[uint64]*entry
	inFlight      map[uint64]*entry
	queuedBytes   int64
	// refusals are the requests that StartNext refused and DrainRefusals has not returned yet.
	refusals   []Refusal
	queuedCost float64
	// worthLevel is the running mean of the worth classes of offered requests.
	worthLevel float64
}

// New returns a Core with an empty queue.
func New(config Config) (*Core, error) {
	if err := config.checkAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	latencies, err := newLatencyTracker()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Core{
		config:        config,
		latencies:     latencies,
		prefill:       newPrefillBacklog(),
		window:        window{size: config.InitialWindow, minimum: config.MinimumWindow, target: config.WaitTarget},
		tenants:       make(map[string]*tenantQueue),
		waiting:       btree.NewG(treeDegree, fairOrder),
		byLatestStart: btree.NewG(treeDegree, latestStartOrder),
		entries:       make(map[uint64]*entry),
		inFlight:      make(map[uint64]*entry),
	}, nil
}

func latestStartOrder(a, b *entry) bool {
	if a.latestStartAt != b.latestStartAt {
		return a.latestStartAt < b.latestStartAt
	}
	return a.sequence < b.sequence
}

// Offer adds a request to the queue. It returns the requests that are refused as a result,
// which may include the request itself. All other requests wait for StartNext.
func (c *Core) Offer(now time.Duration, request Request) []Refusal {
	if c.hasRequest(request.ID) {
		return []Refusal{{ID: request.ID, Reason: ErrDuplicate}}
	}
	if request.Bytes > c.config.QueueBytes {
		return []Refusal{{ID: request.ID, Reason: ErrTooLarge}}
	}
	queue := c.tenantQueue(request.Tenant, request.Weight)
	added := c.newEntry(request, queue)
	c.updateWorthLevel(added)
	if late := c.lateness(now, added, queue.costBefore(added)); late > 0 {
		c.removeIfIdle(queue)
		return []Refusal{{ID: request.ID, Reason: ErrDeadline, RetryAfter: retryAfter(late)}}
	}
	c.enqueue(added)
	return c.shed()
}

// StartNext returns the next request to start if one is waiting and the window has room. The
// caller must complete it with Finish. Waiting requests that can no longer meet their deadline
// are refused; DrainRefusals returns them.
func (c *Core) StartNext(now time.Duration) (Request, bool) {
	next, found := c.nextInTime(now)
	if !found || c.window.requestsInFlight >= c.config.MaximumInFlight || !c.window.admits(next.cost) {
		return Request{}, false
	}
	queue := next.queue
	c.dequeue(next)
	c.window.start(next.cost)
	next.startedAt = now
	c.latencies.recordStart(now, &next.Request)
	c.prefill.add(now, next)
	c.virtualTime = max(c.virtualTime, queue.startTag)
	queue.inFlight++
	queue.finishTag = queue.startTag + next.cost/c.effectiveWeight(next)
	c.inFlight[next.ID] = next
	c.rank(queue)
	return next.Request, true
}

// nextInTime returns the next request in service order. It refuses the requests before it whose
// latest start has passed.
func (c *Core) nextInTime(now time.Duration) (*entry, bool) {
	for {
		queue, found := c.waiting.Min()
		if !found {
			return nil, false
		}
		next, _ := queue.entries.Min()
		late := c.lateness(now, next, 0)
		if late <= 0 {
			return next, true
		}
		c.refusals = append(c.refusals, c.refuse(next, ErrDeadline, retryAfter(late)))
	}
}

// DrainRefusals returns the requests that StartNext has refused since the last call.
func (c *Core) DrainRefusals() []Refusal {
	refused := c.refusals
	c.refusals = nil
	return refused
}

// RecordFirstToken records that a request in flight has produced its first token. wait is the part
// of the time to first token that the request's own work does not explain. The recorded latency of the
// request's class is updated immediately.
func (c *Core) RecordFirstToken(now time.Duration, id uint64, wait time.Duration) {
	decoding, found := c.inFlight[id]
	if !found || decoding.firstToken > 0 {
		return
	}
	decoding.firstToken = max(now-decoding.startedAt, 1)
	c.latencies.recordFirstToken(now, decoding.Class, decoding.firstToken)
	decoding.wait = wait
	c.prefill.remove(now, decoding, true)
}

// Finish completes a request in flight and charges its tenant the tokens actually used.
func (c *Core) Finish(now time.Duration, id uint64, result Result) {
	ended, found := c.inFlight[id]
	if !found {
		return
	}
	delete(c.inFlight, id)
	if ended.firstToken == 0 {
		c.prefill.remove(now, ended, false)
	}
	c.window.finish(now, ended, result)
	c.latencies.recordFinish(now, ended, result)
	used := ended.cost
	if result.PromptTokens+result.OutputTokens > 0 {
		used = c.cost(result.PromptTokens, result.OutputTokens)
	}
	c.rate.record(now, used, len(c.entries) > 0)
	queue := ended.queue
	c.unrank(queue)
	queue.inFlight--
	queue.finishTag += (used - ended.cost) / c.effectiveWeight(ended)
	c.rank(queue)
	c.removeIfIdle(queue)
}

// Remove cancels a waiting request whose caller has disconnected. It reports whether the
// request was waiting.
func (c *Core) Remove(id uint64) bool {
	removed, found := c.entries[id]
	if !found {
		return false
	}
	c.dequeue(removed)
	c.rank(removed.queue)
	c.removeIfIdle(removed.queue)
	return true
}

// InFlightCount returns the number of requests in flight.
func (c *Core) InFlightCount() int { return len(c.inFlight) }

// WaitingCount returns the number of waiting requests.
func (c *Core) WaitingCount() int { return len(c.entries) }

func (c *Core) hasRequest(id uint64) bool {
	_, waits := c.entries[id]
	_, runs := c.inFlight[id]
	return waits || runs
}
