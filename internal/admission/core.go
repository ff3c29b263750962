package admission

import (
	"time"

	"github.com/google/btree"
	"github.com/gravitational/trace"
)

// Core is the admission of one service at one gateway. See the package comment for
// its concurrency contract.
type Core struct {
	config   Config
	window   window
	rate     serviceRate
	paces    paces
	reading  reading
	sequence uint64

	tenants map[string]*tenantQueue
	// waiting holds the tenants with waiting requests in the order of service.
	waiting *btree.BTreeG[*tenantQueue]
	// weightSum is the sum of weights over waiting.
	weightSum   float64
	virtualTime float64
	// byStart holds every waiting request by its latest start.
	byStart     *btree.BTreeG[*entry]
	entries     map[uint64]*entry
	started     map[uint64]*entry
	queuedBytes int64
	// refused are the requests that Next gave up on.
	refused    []Refusal
	queuedCost float64
	// worthLevel is the running mean of worthClass over offered requests.
	worthLevel float64
}

// New returns a Core with an empty queue.
func New(config Config) (*Core, error) {
	if err := config.checkAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	paces, err := newPaces()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Core{
		config:  config,
		paces:   paces,
		reading: newReading(),
		window:  window{size: config.InitialWindow, minimum: config.MinimumWindow, target: config.WaitTarget},
		tenants: make(map[string]*tenantQueue),
		waiting: btree.NewG(treeDegree, fairOrder),
		byStart: btree.NewG(treeDegree, startsBefore),
		entries: make(map[uint64]*entry),
		started: make(map[uint64]*entry),
	}, nil
}

func startsBefore(a, b *entry) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

// Offer takes a request in. It returns the requests that are given up on for it,
// among which may be the request itself; all other requests wait for Next.
func (c *Core) Offer(now time.Duration, request Request) []Refusal {
	if c.known(request.ID) {
		return []Refusal{{ID: request.ID, Reason: ErrDuplicate}}
	}
	if request.Bytes > c.config.QueueBytes {
		return []Refusal{{ID: request.ID, Reason: ErrTooLarge}}
	}
	queue := c.tenantQueue(request.Tenant, request.Weight)
	added := c.newEntry(request, queue)
	c.noteWorth(added)
	if late := c.lateness(now, added, queue.costBefore(added)); late > 0 {
		c.forgetIdle(queue)
		return []Refusal{{ID: request.ID, Reason: ErrDeadline, RetryAfter: retryAfter(late)}}
	}
	c.enqueue(added)
	return c.shed()
}

// StartNext returns the request to start now, if there is one and the window has room. The
// caller must end it with Finish. Requests that could not end in time any more are given
// up on instead; Refused returns them.
func (c *Core) StartNext(now time.Duration) (Request, bool) {
	next, found := c.nextInTime(now)
	if !found || c.window.count >= c.config.MaxInFlight || !c.window.admits(next.cost) {
		return Request{}, false
	}
	queue := next.queue
	c.dequeue(next)
	c.window.start(next.cost)
	next.startedAt = now
	c.paces.started(now, &next.Request)
	c.reading.started(now, next)
	c.virtualTime = max(c.virtualTime, queue.startTag)
	queue.inFlight++
	queue.finishTag = queue.startTag + next.cost/c.part(next)
	c.started[next.ID] = next
	c.rank(queue)
	return next.Request, true
}

// nextInTime returns the request whose turn it is, after giving up on those before it
// whose start is too late.
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
		c.refused = append(c.refused, c.giveUp(next, ErrDeadline, retryAfter(late)))
	}
}

// DrainRefusals returns, once, the requests that Next has given up on.
func (c *Core) DrainRefusals() []Refusal {
	refused := c.refused
	c.refused = nil
	return refused
}

// RecordFirstToken notes that a started request has brought its first token, wait later than
// its own work explains. The pace of its class follows at once.
func (c *Core) RecordFirstToken(now time.Duration, id uint64, wait time.Duration) {
	writing, found := c.started[id]
	if !found || writing.firstToken > 0 {
		return
	}
	writing.firstToken = max(now-writing.startedAt, 1)
	c.paces.firstToken(now, writing.Class, writing.firstToken)
	writing.wait = wait
	c.reading.ended(now, writing, true)
}

// Finish ends a started request and corrects the tenant's part by what was used.
func (c *Core) Finish(now time.Duration, id uint64, result Result) {
	ended, found := c.started[id]
	if !found {
		return
	}
	delete(c.started, id)
	if ended.firstToken == 0 {
		c.reading.ended(now, ended, false)
	}
	c.window.finish(now, ended, result)
	c.paces.finished(now, ended, result)
	used := ended.cost
	if result.PromptTokens+result.OutputTokens > 0 {
		used = c.cost(result.PromptTokens, result.OutputTokens)
	}
	c.rate.finish(now, used, len(c.entries) > 0)
	queue := ended.queue
	c.unrank(queue)
	queue.inFlight--
	queue.finishTag += (used - ended.cost) / c.part(ended)
	c.rank(queue)
	c.forgetIdle(queue)
}

// Remove takes back a waiting request whose caller has gone away. It reports
// whether the request was waiting.
func (c *Core) Remove(id uint64) bool {
	gone, found := c.entries[id]
	if !found {
		return false
	}
	c.dequeue(gone)
	c.rank(gone.queue)
	c.forgetIdle(gone.queue)
	return true
}

// InFlightCount is the number of started requests.
func (c *Core) InFlightCount() int { return len(c.started) }

// WaitingCount is the number of waiting requests.
func (c *Core) WaitingCount() int { return len(c.entries) }

func (c *Core) known(id uint64) bool {
	_, waits := c.entries[id]
	_, runs := c.started[id]
	return waits || runs
}
