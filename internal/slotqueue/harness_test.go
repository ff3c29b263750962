package slotqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// hop is the time of a message or request from one process to another.
	hop = time.Millisecond
	// reportInterval is how often relays report the slots that they hold.
	reportInterval = 250 * time.Millisecond
	// backEndQueue is how many requests wait at a back end before it turns further ones away.
	backEndQueue = 6
	// meanServiceTime is the mean of the service times, which lie between half and one and a half times of it.
	meanServiceTime = 50 * time.Millisecond
)

// strategy is how relays decide where requests go.
type strategy int

const (
	// throughQueue is the strategy of the product: the owner's Queue grants the slots.
	throughQueue strategy = iota
	// firstComeFirstServed uses the Queue without levels, tenants, targets and deadlines.
	firstComeFirstServed
	// alone makes each relay send at once to the back end with the fewest requests of this relay.
	alone
)

// client is one client that sends requests at random intervals.
type client struct {
	tenant    uint64
	level     int
	perSecond float64
	target    time.Duration
	deadline  time.Duration
}

// outcome is the result of one request.
type outcome struct {
	client
	sentAt, endedAt time.Duration
	isServed        bool
	refusal         Reason
}

func (o outcome) isInTime() bool { return o.isServed && o.endedAt-o.sentAt <= o.target }

func (o outcome) endedAfterDeadline() bool { return o.isServed && o.endedAt-o.sentAt > o.deadline }

// testBackEnd serves as many requests at a time as it has slots, and has a queue of its own.
type testBackEnd struct {
	hash    uint64
	slots   int
	running int
	queued  []func()
}

// testRelay is a relay: it submits requests, and reports the slots that it holds.
type testRelay struct {
	id       uint64
	number   uint64
	sequence uint64
	held     map[uint64]uint64
	// awaited are its requests without a final answer.
	awaited map[uint64]bool
	// inFlight are its requests at each back end, by position.
	inFlight []int
}

// answeredUpTo returns the number up to which the relay has had all final answers.
func (r *testRelay) answeredUpTo() uint64 {
	upTo := r.number
	for number := range r.awaited {
		upTo = min(upTo, number-1)
	}
	return upTo
}

// fleet is a fleet in virtual time in front of one service.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	strategy strategy
	queue    *Queue
	backEnds []*testBackEnd
	relays   []*testRelay
	// reportLoss is the fraction of reports that are lost.
	reportLoss float64
	outcomes   []*outcome
	// turnedAway counts the requests that a back end turned away.
	turnedAway int
	// onDecision are what relays do with the decisions on queued requests.
	onDecision map[RequestID]func(Decision)
	advanceAt  time.Duration
}

func newFleet(seed uint64, chosen strategy, relays, backEnds, slots int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), strategy: chosen, queue: New(Config{}),
		onDecision: make(map[RequestID]func(Decision)),
	}
	var listed []BackEnd
	for i := range backEnds {
		f.backEnds = append(f.backEnds, &testBackEnd{hash: uint64(100 + i), slots: slots})
		listed = append(listed, BackEnd{Hash: uint64(100 + i), Slots: slots})
	}
	for i := range relays {
		f.relays = append(f.relays, &testRelay{id: uint64(1000 + i), held: make(map[uint64]uint64), awaited: make(map[uint64]bool), inFlight: make([]int, backEnds)})
	}
	f.queue.SetBackEnds(0, listed)
	return f
}

// run lets the clients send requests for a time, each through a random relay, and returns the outcomes.
func (f *fleet) run(length time.Duration, clients []client) []*outcome {
	for _, c := range clients {
		f.sendNext(c, length)
	}
	for _, relay := range f.relays {
		f.after(time.Duration(f.random.Int64N(int64(reportInterval))), func() { f.reportRegularly(relay, length) })
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	return f.outcomes
}

func (f *fleet) after(wait time.Duration, do func()) {
	heap.Push(&f.events, event{at: f.now + wait, sequence: f.random.Uint64(), do: do})
}

func (f *fleet) sendNext(c client, until time.Duration) {
	wait := time.Duration(-math.Log(1-f.random.Float64()) / c.perSecond * float64(time.Second))
	if f.now+wait > until {
		return
	}
	f.after(wait, func() {
		f.send(c)
		f.sendNext(c, until)
	})
}

func (f *fleet) send(c client) {
	sent := &outcome{client: c, sentAt: f.now}
	f.outcomes = append(f.outcomes, sent)
	relay := f.relays[f.random.IntN(len(f.relays))]
	if f.strategy == alone {
		f.sendAlone(relay, sent, nil)
		return
	}
	relay.number++
	relay.awaited[relay.number] = true
	request := f.newRequest(RequestID{Relay: relay.id, Number: relay.number}, sent)
	f.after(hop, func() {
		f.answer(request.ID, f.queue.Submit(f.now, request), f.onAnswer(relay, sent))
		f.scheduleAdvance()
	})
}

func (f *fleet) newRequest(id RequestID, sent *outcome) Request {
	if f.strategy == firstComeFirstServed {
		return Request{ID: id, DeadlineAt: sent.sentAt + time.Hour}
	}
	return Request{
		ID: id, Level: sent.level, Tenant: sent.tenant,
		TargetAt: sent.sentAt + sent.target, DeadlineAt: sent.sentAt + sent.deadline,
	}
}

// answer sends a decision to the relay that asked.
func (f *fleet) answer(id RequestID, decision Decision, onAnswer func(Decision)) {
	if decision.Outcome == Queued {
		f.onDecision[id] = onAnswer
		return
	}
	delete(f.onDecision, id)
	f.after(hop, func() { onAnswer(decision) })
}

func (f *fleet) onAnswer(relay *testRelay, sent *outcome) func(Decision) {
	return func(decision Decision) {
		delete(relay.awaited, decision.ID.Number)
		if decision.Outcome == Refused {
			sent.refusal, sent.endedAt = decision.Reason, f.now
			return
		}
		number := decision.ID.Number
		relay.held[number] = decision.BackEnd
		f.serve(int(decision.BackEnd-100), sent, func(result Result) {
			delete(relay.held, number)
			f.report(relay, map[uint64]Result{number: result})
		})
	}
}

// sendAlone sends a request to the back end with the fewest requests of the relay, and to another one if that one turns it
// away.
func (f *fleet) sendAlone(relay *testRelay, sent *outcome, tried []int) {
	chosen, ties := -1, 0
	for i, count := range relay.inFlight {
		switch {
		case len(tried) > 0 && tried[0] == i:
		case chosen < 0 || count < relay.inFlight[chosen]:
			chosen, ties = i, 1
		case count == relay.inFlight[chosen]:
			if ties++; f.random.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	relay.inFlight[chosen]++
	f.serve(chosen, sent, func(result Result) {
		relay.inFlight[chosen]--
		if result.TurnedAway && len(tried) == 0 {
			f.sendAlone(relay, sent, []int{chosen})
		}
	})
}

// serve sends a request to a back end and calls onEnd when the response has arrived.
func (f *fleet) serve(position int, sent *outcome, onEnd func(Result)) {
	backEnd := f.backEnds[position]
	f.after(hop, func() {
		start := func() {
			serviceTime := time.Duration((0.5 + f.random.Float64()) * float64(meanServiceTime))
			f.after(serviceTime, func() {
				f.endAt(backEnd)
				f.after(hop, func() {
					sent.isServed, sent.endedAt = true, f.now
					onEnd(Result{ServiceTime: serviceTime})
				})
			})
		}
		switch {
		case backEnd.running < backEnd.slots:
			backEnd.running++
			start()
		case len(backEnd.queued) < backEndQueue:
			backEnd.queued = append(backEnd.queued, start)
		default:
			f.turnedAway++
			f.after(hop, func() { onEnd(Result{TurnedAway: true}) })
		}
	})
}

func (f *fleet) endAt(backEnd *testBackEnd) {
	if len(backEnd.queued) == 0 {
		backEnd.running--
		return
	}
	next := backEnd.queued[0]
	backEnd.queued = backEnd.queued[1:]
	next()
}

func (f *fleet) reportRegularly(relay *testRelay, until time.Duration) {
	if f.now > until {
		return
	}
	if len(relay.held) > 0 {
		f.report(relay, nil)
	}
	f.after(reportInterval, func() { f.reportRegularly(relay, until) })
}

func (f *fleet) report(relay *testRelay, released map[uint64]Result) {
	relay.sequence++
	report := Report{Relay: relay.id, Sequence: relay.sequence, Released: released, AnsweredUpTo: relay.answeredUpTo()}
	for number, backEnd := range relay.held {
		report.Held = append(report.Held, Held{Number: number, BackEnd: backEnd})
	}
	if f.random.Float64() < f.reportLoss {
		return
	}
	f.after(hop, func() {
		f.queue.ApplyReport(f.now, report)
		f.scheduleAdvance()
	})
}

// scheduleAdvance calls Advance when NextAt says so.
func (f *fleet) scheduleAdvance() {
	at, needed := f.queue.NextAt()
	if !needed {
		return
	}
	at = max(at, f.now)
	if f.advanceAt > f.now && f.advanceAt <= at {
		return
	}
	f.advanceAt = at
	f.after(at-f.now, func() {
		if f.advanceAt != f.now {
			return
		}
		f.advanceAt = 0
		for _, decision := range f.queue.Advance(f.now) {
			f.answer(decision.ID, decision, f.onDecision[decision.ID])
		}
		f.scheduleAdvance()
	})
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fraction returns the fraction of the outcomes that counts, among those that are selected.
func fraction(outcomes []*outcome, selected, counts func(outcome) bool) float64 {
	of, counted := 0, 0
	for _, o := range outcomes {
		if !selected(*o) {
			continue
		}
		of++
		if counts(*o) {
			counted++
		}
	}
	return float64(counted) / float64(max(of, 1))
}
