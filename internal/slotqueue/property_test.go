package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is what relays and back ends know of a Queue's decisions.
type model struct {
	queue *Queue
	now   time.Duration
	// backEnds are the listed back ends; submitted are the requests by ID.
	backEnds  map[uint64]BackEnd
	submitted map[RequestID]Request
	final     map[RequestID]Decision
	// answered are the requests that relays await no longer.
	answered  map[RequestID]bool
	numbers   [modelRelays]uint64
	sequences [modelRelays]uint64
}

const modelRelays = 4

func newModel(returns Returns) *model {
	return &model{
		queue: New(Config{Returns: returns}), backEnds: make(map[uint64]BackEnd), submitted: make(map[RequestID]Request),
		final: make(map[RequestID]Decision), answered: make(map[RequestID]bool),
	}
}

// Whatever happens in whatever order: no slot is granted that is known to be in use, no request gets two decisions, no
// request that may have run is refused, all tables keep their bounds, and NextAt never asks for an Advance without effect.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var returns Returns
		if rapid.Bool().Draw(t, "returns") {
			returns = &fakeReturns{after: 100 * time.Millisecond, due: map[uint64]bool{1: true, 2: true}, keep: 1}
		}
		m := newModel(returns)
		m.setBackEnds(t)
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"submit":       m.submit,
			"repeat":       m.repeat,
			"cancel":       m.cancel,
			"release":      m.release,
			"report":       m.report,
			"advance":      m.advance,
			"pass":         m.pass,
			"setBackEnds":  m.setBackEnds,
			"becomesOwner": func(*rapid.T) { m.queue.BeginOwnership(m.now) },
		})
	})
}

func (m *model) check(t *rapid.T) {
	q := m.queue
	require.LessOrEqual(t, q.QueuedCount(), maximumQueued)
	require.Equal(t, q.HeldCount(), q.grants.byAge.Len())
	require.Equal(t, q.HeldCount(), q.grants.byExpiry.Len())
	sum := 0
	for _, count := range q.grants.byBackEnd {
		sum += count
	}
	require.Equal(t, q.HeldCount(), sum)
	queued, flows := 0, 0
	for _, l := range q.waiting.levels {
		queued += l.count()
		flows += len(l.flows)
		for _, f := range l.flows {
			require.False(t, f.isIdle(), "an idle flow stayed")
		}
	}
	require.Equal(t, q.QueuedCount(), queued)
	require.Equal(t, q.waiting.flows, flows)
	require.LessOrEqual(t, flows, q.QueuedCount()+q.HeldCount())
	require.Equal(t, len(q.finalDecisions.byID), q.finalDecisions.byDropAt.Len())
	for id := range q.waiting.entries {
		require.NotContains(t, q.grants.byID, id, "a queued request holds a slot")
	}
}

func (m *model) submit(t *rapid.T) {
	relay := rapid.IntRange(0, modelRelays-1).Draw(t, "relay")
	m.numbers[relay]++
	target := time.Duration(rapid.IntRange(0, 400).Draw(t, "target")) * time.Millisecond
	request := Request{
		ID:         RequestID{Relay: uint64(relay), Number: m.numbers[relay]},
		Level:      rapid.IntRange(-1, 3).Draw(t, "level"),
		Tenant:     rapid.Uint64Range(0, 3).Draw(t, "tenant"),
		TargetAt:   m.now + target,
		DeadlineAt: m.now + target + time.Duration(rapid.IntRange(0, 400).Draw(t, "slack"))*time.Millisecond,
		Signature:  rapid.Uint64Range(0, 3).Draw(t, "signature"),
		Excluded:   rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 2).Draw(t, "excluded"),
		MayHaveRun: rapid.IntRange(0, 3).Draw(t, "ran") == 0,
	}
	m.submitted[request.ID] = request
	m.submitAndRecord(t, request)
}

func (m *model) repeat(t *rapid.T) {
	id := m.anyID(t)
	request, exists := m.submitted[id]
	if exists && m.now < request.DeadlineAt+decisionRetention {
		m.submitAndRecord(t, request)
	}
}

func (m *model) submitAndRecord(t *rapid.T, request Request) {
	before := m.heldCounts()
	_, isHeld := m.queue.grants.byID[request.ID]
	decision := m.queue.Submit(m.now, request)
	if _, holds := m.queue.grants.byID[request.ID]; holds && !isHeld {
		m.requireFree(t, before, []Decision{decision})
	}
	m.record(t, decision)
}

// record requires that a decision does not differ from an earlier one.
func (m *model) record(t *rapid.T, decision Decision) {
	request := m.submitted[decision.ID]
	if m.answered[decision.ID] {
		return
	}
	if known, isKnown := m.final[decision.ID]; isKnown {
		require.Equal(t, known, decision, "a second decision")
		return
	}
	if decision.Outcome == Queued {
		return
	}
	if decision.Outcome == Refused {
		if decision.Reason == ReasonNotAwaited {
			m.requireAllExcluded(t, request)
		} else {
			require.False(t, request.MayHaveRun, "refused although it may have run")
		}
		if decision.Reason != ReasonNotAwaited { // that one is not told to the client
			require.Positive(t, decision.RetryAfter)
		}
		require.NotContains(t, m.queue.grants.byID, decision.ID)
	}
	m.final[decision.ID] = decision
}

// requireAllExcluded requires that a request excludes all open back ends: only then is it left to a relay that awaits it.
func (m *model) requireAllExcluded(t *rapid.T, request Request) {
	open := 0
	for hash, backEnd := range m.backEnds {
		if !backEnd.Closed && backEnd.Slots > 0 {
			open++
			require.Contains(t, request.Excluded, hash)
		}
	}
	require.NotZero(t, open)
}

// requireFree requires that the granted slots were free and allowed.
func (m *model) requireFree(t *rapid.T, before map[uint64]int, decisions []Decision) {
	for _, decision := range decisions {
		if decision.Outcome != Granted {
			continue
		}
		before[decision.BackEnd]++
		backEnd := m.backEnds[decision.BackEnd]
		require.False(t, backEnd.Closed)
		require.LessOrEqual(t, before[decision.BackEnd], backEnd.Slots, "more slots granted than free")
		require.NotContains(t, m.submitted[decision.ID].Excluded, decision.BackEnd)
		require.LessOrEqual(t, decision.Lease, maximumLease)
	}
}

func (m *model) heldCounts() map[uint64]int {
	counts := make(map[uint64]int)
	for _, g := range m.queue.grants.byID {
		counts[g.backEnd]++
	}
	return counts
}

func (m *model) cancel(t *rapid.T) {
	id := m.anyID(t)
	m.queue.Cancel(m.now, id)
	m.answered[id] = true
	require.NotContains(t, m.queue.grants.byID, id)
}

func (m *model) release(t *rapid.T) {
	id := m.anyID(t)
	m.queue.Release(m.now, id, drawResult(t))
	require.NotContains(t, m.queue.grants.byID, id)
}

func drawResult(t *rapid.T) Result {
	return Result{
		ServiceTime: time.Duration(rapid.IntRange(0, 200).Draw(t, "service")) * time.Millisecond,
		Slowdown:    rapid.Float64Range(0, 3).Draw(t, "slowdown"),
		TurnedAway:  rapid.IntRange(0, 4).Draw(t, "turned away") == 0,
	}
}

// report sends the report of a relay, sometimes an old one, with slots that the Queue knows and with others.
func (m *model) report(t *rapid.T) {
	relay := rapid.IntRange(0, modelRelays-1).Draw(t, "relay")
	report := Report{Relay: uint64(relay), Released: make(map[uint64]Result)}
	if rapid.IntRange(0, 4).Draw(t, "late") > 0 {
		m.sequences[relay]++
	}
	report.Sequence = m.sequences[relay]
	report.AnsweredUpTo = rapid.Uint64Range(0, m.numbers[relay]).Draw(t, "answered")
	for number := uint64(1); number <= m.numbers[relay]; number++ {
		id := RequestID{Relay: report.Relay, Number: number}
		switch rapid.IntRange(0, 3).Draw(t, "state") {
		case 0:
			report.Held = append(report.Held, Held{Number: number, BackEnd: rapid.Uint64Range(1, 4).Draw(t, "on")})
		case 1:
			report.Released[number] = drawResult(t)
		default:
			if number > report.AnsweredUpTo {
				continue
			}
		}
		m.answered[id] = true
	}
	m.queue.ApplyReport(m.now, report)
}

func (m *model) advance(t *rapid.T) {
	before, heldBefore := m.heldCounts(), m.queue.ExpiredLeases()
	decided := m.queue.Advance(m.now)
	if m.queue.ExpiredLeases() == heldBefore {
		m.requireFree(t, before, decided)
	}
	for backEnd, count := range m.heldCounts() {
		if count > before[backEnd] {
			require.LessOrEqual(t, count, m.backEnds[backEnd].Slots)
		}
	}
	for _, decision := range decided {
		m.record(t, decision)
	}
	m.requireProgress(t)
}

// requireProgress requires that a few calls at the present time leave nothing that is due now.
func (m *model) requireProgress(t *rapid.T) {
	for range 3 {
		at, needed := m.queue.NextAt()
		if !needed || at > m.now {
			return
		}
		for _, decision := range m.queue.Advance(m.now) {
			m.record(t, decision)
		}
	}
	at, needed := m.queue.NextAt()
	require.False(t, needed && at <= m.now, "Advance is asked for without end")
}

func (m *model) pass(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
}

func (m *model) setBackEnds(t *rapid.T) {
	var listed []BackEnd
	m.backEnds = make(map[uint64]BackEnd)
	for hash := uint64(1); hash <= 3; hash++ {
		backEnd := BackEnd{Hash: hash, Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Closed: rapid.IntRange(0, 5).Draw(t, "closed") == 0}
		if rapid.IntRange(0, 5).Draw(t, "unlisted") > 0 {
			listed, m.backEnds[hash] = append(listed, backEnd), backEnd
		}
	}
	m.queue.SetBackEnds(m.now, listed)
}

func (m *model) anyID(t *rapid.T) RequestID {
	relay := rapid.IntRange(0, modelRelays-1).Draw(t, "relay")
	return RequestID{Relay: uint64(relay), Number: rapid.Uint64Range(1, m.numbers[relay]+1).Draw(t, "number")}
}

// A flood of requests, reports of unknown relays and decisions must not make any table grow beyond its bound.
func TestTablesAreBounded(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	for number := uint64(1); number <= 2*maximumDecisions; number++ {
		request := with(newTestRequest(number), func(r *Request) {
			r.ID.Relay, r.Tenant, r.DeadlineAt = number, number, settled+10*time.Minute
		})
		queue.Submit(settled, request)
		queue.ApplyReport(settled, Report{Relay: number << 32, Sequence: 1, AnsweredUpTo: 1, Held: []Held{{2, 1}}})
	}
	require.Equal(t, maximumQueued, queue.QueuedCount())
	require.Len(t, queue.finalDecisions.byID, maximumDecisions)
	require.LessOrEqual(t, queue.waiting.flows, maximumFlows)
	require.LessOrEqual(t, len(queue.relays.relays), maximumRelays+queue.QueuedCount()+queue.HeldCount())
	report := Report{Relay: 3, Sequence: 1}
	for number := uint64(2); number <= 2*maximumHeld; number++ {
		report.Held = append(report.Held, Held{Number: number, BackEnd: number})
	}
	queue.ApplyReport(settled, report)
	require.Equal(t, maximumHeld, queue.HeldCount())

	queue.Advance(settled + 11*time.Minute)
	queue.Advance(settled + 12*time.Minute)
	require.Zero(t, queue.QueuedCount()+queue.HeldCount()+queue.waiting.flows+len(queue.grants.byBackEnd))
	require.Empty(t, queue.finalDecisions.byID)
	require.Empty(t, queue.relays.relays)
}
