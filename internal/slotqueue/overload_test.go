package slotqueue_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	relayCount     = 71
	backEndCount   = 3
	slotsOfBackEnd = 6
	// meanService is the mean time of a request at a back end; times are uniform from half of it to one and a half of it.
	meanService = 100 * time.Millisecond
	// overloadFactor is the load of first requests in multiples of what the slots can carry, for overloadSpan.
	overloadFactor = 2
	overloadSpan   = 10 * time.Second
	// tenantCount tenants send requests; the first one sends half of them.
	tenantCount = 20

	// messageDelay is the time of one datagram between relays.
	messageDelay = time.Millisecond
	// repeatInterval is how often a relay repeats a request that has no decision; answerTimeout is how long it waits for
	// the first answer of an owner before it asks the deputy.
	repeatInterval = 100 * time.Millisecond
	answerTimeout  = 30 * time.Millisecond
	reportInterval = 250 * time.Millisecond

	// attemptDeadline is the deadline of each request.
	attemptDeadline = 3 * time.Second
	// clientTimeout is how long a client tries to be served.
	clientTimeout = 5 * time.Second
	// atOnceInterval is the retry interval of clients that ignore the time of the refusal.
	atOnceInterval = 20 * time.Millisecond
	// servedOnReturn is how long a client that returns at its promised time may wait for a slot.
	servedOnReturn = 250 * time.Millisecond
	// samplingTolerance is by how much shares of about 2,000 clients differ by chance: two standard deviations of a
	// difference.
	samplingTolerance = 0.03
)

// targets are latency targets of requests: one that a backlog of a third of a second exceeds, and one of a third of the
// deadline, which is the latest time of a promise.
var targets = []time.Duration{300 * time.Millisecond, time.Second}

// seeds are the seeds of the runs that are counted together. The loss of an owner concerns few promises and takes more.
var (
	seeds     = []uint64{1, 2}
	lossSeeds = []uint64{1, 2, 3}
)

// event is a call at a time of the virtual clock; sequence orders calls at the same time.
type event struct {
	at       time.Duration
	sequence int
	call     func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// kind is how clients react to a refusal.
type kind int

const (
	retriesAsTold kind = iota
	retriesAtOnce
	neverRetries
	kindCount
)

// client is a client with one request, which it repeats when it is refused.
type client struct {
	kind      kind
	tenant    uint64
	signature uint64
	startedAt time.Duration
	servedAt  time.Duration // 0 if it was not served
	attempts  int
}

// attempt is one request of a client at one relay.
type attempt struct {
	client    *client
	isFirst   bool // the client was not refused before
	relay     *testRelay
	request   slotqueue.Request
	sentAt    time.Duration
	returnsTo *testOwner // the owner that told the client to return now; nil for none
	promised  bool
	answered  bool // an owner has answered, finally or not
	decided   bool
	asks      int
}

// testRelay is a relay that requests slots.
type testRelay struct {
	identity, lastNumber, sequence uint64
	attempts                       map[uint64]*attempt // without final answer, by number
	held                           map[uint64]uint64   // back ends by number
	asksDeputy                     bool                // the owner has not answered
}

// testOwner is a relay that owns slots, or its deputy.
type testOwner struct {
	queue *slotqueue.Queue
	plan  *returnplan.Plan // nil for none
	lost  bool
	// begins is true for a deputy that has not been asked yet.
	begins bool
}

// overload is a service with twice the load that its slots can carry, in virtual time.
type overload struct {
	target   time.Duration
	now      time.Duration
	random   *rand.Rand
	draws    *rand.Rand // of the owners, so that the load does not depend on how often they draw
	events   events
	sequence int

	relays        []*testRelay
	owner, deputy *testOwner
	replicates    bool // the deputy gets the owner's promises
	clients       []*client
	busy          time.Duration // slot time used until overloadSpan
	outcomes      []outcome
}

// outcome is the outcome of an attempt.
type outcome struct {
	client   *client
	at       time.Duration
	isFirst  bool       // the client was not refused before
	toldBy   *testOwner // the owner by which the client was told to return now; nil for none
	promised bool
	wait     time.Duration
	granted  bool
}

func isServedInTheEnd(o outcome) bool { return o.client.servedAt > 0 }

func isServedOnReturn(o outcome) bool { return o.granted && o.wait <= servedOnReturn }

func isPromised(o outcome) bool { return o.promised }

func isUnpromised(o outcome) bool { return o.toldBy != nil && !o.promised }

func newOverload(seed uint64, target time.Duration, withPlan bool) *overload {
	o := &overload{
		target: target, random: rand.New(rand.NewPCG(seed, 0)), draws: rand.New(rand.NewPCG(seed, 1)), replicates: true,
	}
	o.owner, o.deputy = o.newOwner(withPlan), o.newOwner(withPlan)
	o.deputy.begins = true
	for i := range relayCount {
		o.relays = append(o.relays, &testRelay{identity: uint64(1000 + i), attempts: map[uint64]*attempt{}, held: map[uint64]uint64{}})
	}
	return o
}

func (o *overload) newOwner(withPlan bool) *testOwner {
	owner := &testOwner{}
	config := slotqueue.Config{Draw: o.draws.Float64}
	if withPlan {
		owner.plan = returnplan.New(returnplan.DefaultSpan)
		config.Returns = owner.plan
	}
	owner.queue = slotqueue.New(config)
	var backEnds []slotqueue.BackEnd
	for i := range backEndCount {
		backEnds = append(backEnds, slotqueue.BackEnd{Hash: uint64(1 + i), Slots: slotsOfBackEnd})
	}
	owner.queue.SetBackEnds(0, backEnds)
	return owner
}

// after schedules a call.
func (o *overload) after(delay time.Duration, call func()) {
	o.sequence++
	heap.Push(&o.events, event{at: o.now + delay, sequence: o.sequence, call: call})
}

// run runs the service until clients have given up. Clients begin during overloadSpan.
func (o *overload) run() {
	interval := meanService / (backEndCount * slotsOfBackEnd * overloadFactor)
	for at := time.Duration(0); at < overloadSpan; at += interval {
		o.after(at, o.startClient)
	}
	for i, relay := range o.relays {
		o.after(reportInterval*time.Duration(i)/relayCount, func() { o.reportRegularly(relay) })
	}
	for at := time.Duration(0); at < overloadSpan+clientTimeout; at += time.Millisecond {
		o.after(at, o.advance)
	}
	for o.events.Len() > 0 {
		next := heap.Pop(&o.events).(event)
		o.now = next.at
		next.call()
	}
}

func (o *overload) startClient() {
	tenant := uint64(1)
	if o.random.IntN(2) == 0 {
		tenant = uint64(2 + o.random.IntN(tenantCount-1))
	}
	starting := &client{
		kind: kind(o.random.IntN(int(kindCount))), tenant: tenant, signature: o.random.Uint64() | 1, startedAt: o.now,
	}
	o.clients = append(o.clients, starting)
	o.send(starting, nil, false)
}

// send sends a client's request to any relay.
func (o *overload) send(sender *client, returnsTo *testOwner, promised bool) {
	relay := o.relays[o.random.IntN(relayCount)]
	relay.lastNumber++
	sender.attempts++
	sent := &attempt{
		client: sender, isFirst: sender.attempts == 1, relay: relay, sentAt: o.now, returnsTo: returnsTo, promised: promised,
		request: slotqueue.Request{
			ID: slotqueue.RequestID{Relay: relay.identity, Number: relay.lastNumber}, Tenant: sender.tenant,
			Signature: sender.signature, TargetAt: o.now + o.target, DeadlineAt: o.now + attemptDeadline,
		},
	}
	relay.attempts[sent.request.ID.Number] = sent
	o.ask(sent)
}

// ask asks the owner for a slot, and again until there is a decision.
func (o *overload) ask(asked *attempt) {
	if asked.decided {
		return
	}
	owner := o.owner
	if asked.relay.asksDeputy {
		owner = o.deputy
	}
	asked.answered = false
	asked.asks++
	question := asked.asks
	o.after(messageDelay, func() { o.submit(owner, asked.request) })
	o.after(answerTimeout, func() {
		if question == asked.asks && !asked.answered {
			asked.relay.asksDeputy = true
			o.ask(asked)
		}
	})
	o.after(repeatInterval, func() {
		if question == asked.asks {
			o.ask(asked)
		}
	})
}

// submit lets an owner decide on a request. A deputy becomes the owner with the first one.
func (o *overload) submit(owner *testOwner, request slotqueue.Request) {
	if owner.lost {
		return
	}
	if owner.begins {
		owner.begins = false
		owner.queue.BeginOwnership(o.now)
	}
	o.answer(owner, owner.queue.Submit(o.now, request))
}

// answer sends a decision to the relay that has asked.
func (o *overload) answer(owner *testOwner, decision slotqueue.Decision) {
	o.after(messageDelay, func() {
		relay := o.relays[decision.ID.Relay-o.relays[0].identity]
		if asked := relay.attempts[decision.ID.Number]; asked != nil {
			o.apply(owner, asked, decision)
		}
	})
}

func (o *overload) apply(owner *testOwner, asked *attempt, decision slotqueue.Decision) {
	asked.answered = true
	if decision.Outcome == slotqueue.Queued {
		return
	}
	asked.decided = true
	delete(asked.relay.attempts, asked.request.ID.Number)
	o.outcomes = append(o.outcomes, outcome{
		client: asked.client, at: asked.sentAt, isFirst: asked.isFirst, toldBy: asked.returnsTo, promised: asked.promised,
		wait: o.now - asked.sentAt, granted: decision.Outcome == slotqueue.Granted,
	})
	if decision.Outcome == slotqueue.Granted {
		o.serve(asked, decision.BackEnd)
		return
	}
	o.retry(owner, asked.client, decision)
}

// serve serves a request in its granted slot.
func (o *overload) serve(granted *attempt, backEnd uint64) {
	granted.client.servedAt = o.now
	number := granted.request.ID.Number
	granted.relay.held[number] = backEnd
	service := meanService/2 + time.Duration(o.random.Int64N(int64(meanService)))
	o.busy += max(min(o.now+service, overloadSpan)-o.now, 0)
	o.after(service, func() {
		delete(granted.relay.held, number)
		o.report(granted.relay, map[uint64]slotqueue.Result{number: {ServiceTime: service}})
	})
}

// retry lets a refused client return, or give up.
func (o *overload) retry(owner *testOwner, refused *client, decision slotqueue.Decision) {
	delay := atOnceInterval
	if refused.kind == retriesAsTold {
		delay = decision.RetryAfter
	}
	if refused.kind == neverRetries || o.now+delay > refused.startedAt+clientTimeout {
		return
	}
	o.after(delay, func() {
		if refused.kind == retriesAsTold {
			o.send(refused, owner, decision.Promised)
		} else {
			o.send(refused, nil, false)
		}
	})
}

// advance runs the owner, and replicates its promises to the deputy.
func (o *overload) advance() {
	for _, owner := range []*testOwner{o.owner, o.deputy} {
		if owner.lost {
			continue
		}
		for _, decision := range owner.queue.Advance(o.now) {
			o.answer(owner, decision)
		}
	}
	if o.owner.plan == nil || o.owner.lost || !o.replicates {
		return
	}
	for _, change := range o.owner.plan.Changes() {
		o.after(messageDelay, func() { o.deputy.plan.ApplyChange(o.now, change) })
	}
}

func (o *overload) reportRegularly(relay *testRelay) {
	if o.now > overloadSpan+clientTimeout {
		return
	}
	if len(relay.held) > 0 {
		o.report(relay, nil)
	}
	o.after(reportInterval, func() { o.reportRegularly(relay) })
}

// report sends a relay's report to the owner and the deputy.
func (o *overload) report(relay *testRelay, released map[uint64]slotqueue.Result) {
	relay.sequence++
	report := slotqueue.Report{Relay: relay.identity, Sequence: relay.sequence, AnsweredUpTo: relay.lastNumber, Released: released}
	for number := range relay.attempts {
		report.AnsweredUpTo = min(report.AnsweredUpTo, number-1)
	}
	for number, backEnd := range relay.held {
		report.Held = append(report.Held, slotqueue.Held{Number: number, BackEnd: backEnd})
	}
	slices.SortFunc(report.Held, func(a, b slotqueue.Held) int { return cmp.Compare(a.Number, b.Number) })
	o.after(messageDelay, func() {
		for _, owner := range []*testOwner{o.owner, o.deputy} {
			if !owner.lost {
				owner.queue.ApplyReport(o.now, report)
			}
		}
	})
}

// loseOwner makes the owner fail at this time. Relays then ask the deputy.
func (o *overload) loseOwner(at time.Duration) {
	o.after(at, func() { o.owner.lost = true })
}

// tally sums up runs with different seeds.
type tally struct {
	clients, served [kindCount]int
	waits           [kindCount]time.Duration
	busy            time.Duration
	runs            int
	outcomes        []outcome
}

func (y *tally) add(o *overload) {
	for _, each := range o.clients {
		y.clients[each.kind]++
		if each.servedAt > 0 {
			y.served[each.kind]++
			y.waits[each.kind] += each.servedAt - each.startedAt
		}
	}
	y.busy += o.busy
	y.runs++
	y.outcomes = append(y.outcomes, o.outcomes...)
}

// share returns the part of the clients of a kind that were served.
func (y *tally) share(of kind) float64 { return float64(y.served[of]) / float64(y.clients[of]) }

// meanWait returns the mean time until clients of a kind that were served were.
func (y *tally) meanWait(of kind) time.Duration {
	return y.waits[of] / time.Duration(max(y.served[of], 1))
}

// utilisation returns the part of the slot time that was used during the overload.
func (y *tally) utilisation() float64 {
	return float64(y.busy) / float64(overloadSpan*backEndCount*slotsOfBackEnd) / float64(y.runs)
}

// countOutcomes returns the number of attempts that are counted, and the part of them that have the property.
func (y *tally) countOutcomes(isCounted, has func(outcome) bool) (count int, share float64) {
	having := 0
	for _, each := range y.outcomes {
		if isCounted(each) {
			count++
			if has(each) {
				having++
			}
		}
	}
	return count, float64(having) / float64(max(count, 1))
}

func (y *tally) log(t *testing.T, name string) {
	t.Helper()
	promised, promisedShare := y.countOutcomes(isPromised, isServedOnReturn)
	unpromised, unpromisedShare := y.countOutcomes(isUnpromised, isServedOnReturn)
	t.Logf("%s: returns promised %d, served on return %.3f, unpromised %d, served on return %.3f; utilisation %.3f", name,
		promised, promisedShare, unpromised, unpromisedShare, y.utilisation())
	for of, kindName := range []string{"as told", "at once", "never"} {
		t.Logf("%s: clients that retry %s: served %.3f in %v", name, kindName, y.share(kind(of)), y.meanWait(kind(of)))
	}
}

// TestTwiceTheLoadForTenSeconds guards against promises that are not kept, against clients that gain by retrying at
// once, and against slots that are kept free for clients that never return.
func TestTwiceTheLoadForTenSeconds(t *testing.T) {
	t.Parallel()
	for _, target := range targets {
		t.Run(target.String(), func(t *testing.T) {
			t.Parallel()
			var planned, unplanned tally
			for _, seed := range seeds {
				with, without := newOverload(seed, target, true), newOverload(seed, target, false)
				with.run()
				without.run()
				planned.add(with)
				unplanned.add(without)
			}
			planned.log(t, "planned")
			unplanned.log(t, "not planned")

			count, share := planned.countOutcomes(isPromised, isServedOnReturn)
			// A third of the slots' work in the ten seconds is that of clients that return as told.
			assert.Greater(t, count, len(seeds)*300, "promises are made")
			assert.GreaterOrEqual(t, share, 0.9, "of the clients that return at their promised time, nine in ten are served then")
			assert.LessOrEqual(t, planned.share(retriesAtOnce), planned.share(retriesAsTold)+samplingTolerance, "retrying at once gains nothing")
			assert.LessOrEqual(t, planned.meanWait(retriesAsTold), planned.meanWait(retriesAtOnce), "nor is it faster")
			assert.GreaterOrEqual(t, planned.utilisation(), 0.95*unplanned.utilisation(), "few slots are kept in vain")
			assert.GreaterOrEqual(t, unplanned.utilisation(), 0.95)

			assert.Greater(t, unplanned.share(retriesAtOnce), unplanned.share(retriesAsTold)+samplingTolerance, "without a plan, retrying at once gains")
			assert.Greater(t, planned.share(retriesAsTold), unplanned.share(retriesAsTold)+samplingTolerance, "a plan serves those that retry as told")
		})
	}
}

// TestOwnerIsLostWithPromisesGiven guards against promises that end with the owner, and against clients that are refused
// because their promises were lost with it.
func TestOwnerIsLostWithPromisesGiven(t *testing.T) {
	t.Parallel()
	const lostAt = 5 * time.Second
	for _, target := range targets {
		t.Run(target.String(), func(t *testing.T) {
			t.Parallel()
			var replicated, lost, fromLostOwner, fromLostOwnerUnknown tally
			for _, seed := range lossSeeds {
				with, without := newOverload(seed, target, true), newOverload(seed, target, true)
				without.replicates = false
				for _, each := range []*overload{with, without} {
					each.loseOwner(lostAt)
					each.run()
				}
				replicated.add(with)
				lost.add(without)
				fromLostOwner.outcomes = append(fromLostOwner.outcomes, with.returnsToldByOwner(lostAt)...)
				fromLostOwnerUnknown.outcomes = append(fromLostOwnerUnknown.outcomes, without.returnsToldByOwner(lostAt)...)
			}
			replicated.log(t, "promises replicated")
			lost.log(t, "promises lost")

			count, share := fromLostOwner.countOutcomes(isPromised, isServedOnReturn)
			t.Logf("promised by the lost owner, replicated: %d, served on return %.3f", count, share)
			assert.Greater(t, count, 40)
			assert.GreaterOrEqual(t, share, 0.9)

			count, lostShare := fromLostOwnerUnknown.countOutcomes(isPromised, isServedOnReturn)
			_, servedInTheEnd := fromLostOwnerUnknown.countOutcomes(isPromised, isServedInTheEnd)
			others, servedOthers := fromLostOwnerUnknown.countOutcomes(isUnpromised, isServedInTheEnd)
			t.Logf("promised by the lost owner, lost: %d, served on return %.3f, served in the end %.3f; not promised: %d, %.3f",
				count, lostShare, servedInTheEnd, others, servedOthers)
			assert.Greater(t, count, 40)
			assert.Less(t, lostShare, share, "without replication the clients are newcomers")
			// Shares of 40 clients differ by up to a tenth by chance.
			assert.GreaterOrEqual(t, servedInTheEnd, servedOthers-0.1, "they are not refused for it")
		})
	}
}

// returnsToldByOwner returns the outcomes of returns after the loss of the owner that had told the clients to return.
func (o *overload) returnsToldByOwner(lostAt time.Duration) []outcome {
	var found []outcome
	for _, each := range o.outcomes {
		if each.toldBy == o.owner && each.at > lostAt {
			found = append(found, each)
		}
	}
	return found
}
