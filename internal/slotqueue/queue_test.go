package slotqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

const (
	// settled is a time at which a Queue made at 0 knows the slots that relays hold.
	settled = time.Second
	relay   = uint64(7)
)

func newTestQueue(returns Returns, backEnds ...BackEnd) *Queue {
	queue := New(Config{Returns: returns})
	queue.SetBackEnds(0, backEnds)
	return queue
}

func newTestRequest(number uint64) Request {
	return Request{
		ID: RequestID{Relay: relay, Number: number}, Tenant: 1,
		TargetAt: settled + 10*time.Second, DeadlineAt: settled + 20*time.Second,
	}
}

// with returns a changed copy of a request.
func with(request Request, change func(*Request)) Request {
	change(&request)
	return request
}

// grantedInTurn releases the held request and returns the numbers of the requests that get the only slot, in order.
func grantedInTurn(t *testing.T, queue *Queue, now time.Duration, held uint64) (numbers []uint64) {
	t.Helper()
	for {
		queue.Release(now, RequestID{Relay: relay, Number: held}, Result{ServiceTime: 50 * time.Millisecond})
		decided := queue.Advance(now)
		if len(decided) == 0 {
			return numbers
		}
		require.Len(t, decided, 1)
		require.Equal(t, Granted, decided[0].Outcome)
		held = decided[0].ID.Number
		numbers = append(numbers, held)
		now += 50 * time.Millisecond
	}
}

// Requests must get slots by level, then by tenant in turn, then by the target that can still be met.
func TestOrder(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	require.Equal(t, Granted, queue.Submit(settled, newTestRequest(1)).Outcome)
	changes := []func(*Request){
		2: func(r *Request) { r.Level = 1 },
		3: func(r *Request) { r.TargetAt -= time.Second },
		4: func(r *Request) { r.TargetAt = 0 },
		5: func(r *Request) { r.Tenant = 2; r.TargetAt += time.Second },
		6: func(r *Request) { r.TargetAt -= 2 * time.Second },
		7: func(r *Request) { r.TargetAt, r.DeadlineAt = 0, r.DeadlineAt-time.Second },
		8: func(r *Request) { r.Tenant = 2; r.TargetAt += time.Second },
	}
	for number, change := range changes {
		if change != nil {
			require.Equal(t, Queued, queue.Submit(settled, with(newTestRequest(uint64(number)), change)).Outcome)
		}
	}
	// Tenant 1 has used the slot for one request, so that tenant 2 goes first.
	require.Equal(t, []uint64{5, 6, 8, 3, 7, 4, 2}, grantedInTurn(t, queue, settled+50*time.Millisecond, 1))
}

// A queued request whose target can no longer be met must let those go first that can still meet theirs.
func TestRequestsThatMissTheirTargetGoLater(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	queue.Submit(settled, with(newTestRequest(2), func(r *Request) { r.TargetAt = settled + 100*time.Millisecond }))
	queue.Submit(settled, with(newTestRequest(3), func(r *Request) { r.TargetAt = settled + 300*time.Millisecond }))
	require.Equal(t, []uint64{3, 2}, grantedInTurn(t, queue, settled+80*time.Millisecond, 1))
}

// A tenant that asks again after a pause must get its share at once, and no credit for the pause.
func TestShareIsLentAndTakenBack(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	require.Equal(t, Granted, queue.Submit(settled, newTestRequest(1)).Outcome)
	for number := uint64(2); number <= 20; number++ {
		queue.Submit(settled, newTestRequest(number))
	}
	now, held := settled, uint64(1)
	for range 10 { // tenant 1 uses the share of the idle tenant
		now += 50 * time.Millisecond
		queue.Release(now, RequestID{Relay: relay, Number: held}, Result{ServiceTime: 50 * time.Millisecond})
		held = queue.Advance(now)[0].ID.Number
	}
	for number := uint64(101); number <= 105; number++ {
		queue.Submit(now, with(newTestRequest(number), func(r *Request) { r.Tenant = 2 }))
	}
	granted := grantedInTurn(t, queue, now+50*time.Millisecond, held)
	require.Equal(t, []uint64{101, 12, 102, 13, 103, 14, 104, 15, 105, 16, 17, 18, 19, 20}, granted)
}

// A request that cannot be completed in time must be refused at once, even beside free slots.
func TestRefusesWhatCannotBeCompleted(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	late := with(newTestRequest(1), func(r *Request) { r.DeadlineAt = settled + defaultServiceTime - 1 })
	require.Equal(t, ReasonDeadline, queue.Submit(settled, late).Reason)
	require.Zero(t, queue.HeldCount())
	for number := uint64(2); number <= 11; number++ {
		queue.Submit(settled, newTestRequest(number))
	}
	behind := with(newTestRequest(12), func(r *Request) { r.DeadlineAt = settled + 300*time.Millisecond })
	decision := queue.Submit(settled, behind)
	require.Equal(t, ReasonWait, decision.Reason, "ten requests of 50 ms are ahead")
	require.Equal(t, 500*time.Millisecond, decision.RetryAfter)
	require.False(t, decision.Promised)
	require.Equal(t, decision, queue.Submit(settled, behind), "a repetition gets the same answer")
}

// A refused client must not be told to return at once, and clients that are refused together must not all return at the
// same moment: beside a free slot, while no slot is open, and with a plan that gives no promise.
func TestRefusedClientsReturnAfterASpan(t *testing.T) {
	draws := []float64{0, 0.25, 0.75}
	for _, returns := range []Returns{nil, &fakeReturns{after: time.Hour}} {
		for _, slots := range []int{0, 1} {
			next := 0
			queue := New(Config{Returns: returns, Draw: func() float64 {
				next++
				return draws[(next-1)%len(draws)]
			}})
			queue.SetBackEnds(0, []BackEnd{{Hash: 1, Slots: slots}})
			for number, draw := range draws {
				late := with(newTestRequest(uint64(number+1)), func(r *Request) { r.DeadlineAt = settled + defaultServiceTime - 1 })
				decision := queue.Submit(settled, late)
				require.Equal(t, ReasonDeadline, decision.Reason)
				require.Equal(t, returnplan.DefaultSpan+time.Duration(draw*float64(returnplan.DefaultSpan)), decision.RetryAfter)
			}
		}
	}
	queue := newTestQueue(nil)
	waiting := with(newTestRequest(1), func(r *Request) { r.DeadlineAt = settled + 300*time.Millisecond })
	require.Equal(t, Queued, queue.Submit(settled, waiting).Outcome)
	decided := queue.Advance(settled + 300*time.Millisecond)
	require.Len(t, decided, 1)
	require.GreaterOrEqual(t, decided[0].RetryAfter, returnplan.DefaultSpan, "its deadline passed in the queue")
}

// A queued request must be refused once more urgent requests leave it no chance, and its slot must not be used.
func TestRefusesQueuedRequestsWithoutAChance(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	pushed := with(newTestRequest(2), func(r *Request) { r.Level, r.DeadlineAt = 3, settled+400*time.Millisecond })
	require.Equal(t, Queued, queue.Submit(settled, pushed).Outcome)
	require.Empty(t, queue.Advance(settled))
	for number := uint64(3); number <= 12; number++ {
		queue.Submit(settled, newTestRequest(number))
	}
	decided := queue.Advance(settled + reviewInterval)
	require.Len(t, decided, 1)
	require.Equal(t, pushed.ID, decided[0].ID)
	require.Equal(t, ReasonWait, decided[0].Reason)
}

// A request that may have run must never be refused: its client would be told that it did not run.
func TestRequestsThatMayHaveRunAreNeverRefused(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	mayHaveRun := with(newTestRequest(2), func(r *Request) { r.MayHaveRun, r.DeadlineAt = true, settled+10*time.Millisecond })
	require.Equal(t, Queued, queue.Submit(settled, mayHaveRun).Outcome)
	require.Empty(t, queue.Advance(settled+5*time.Millisecond))
	require.Equal(t, 1, queue.QueuedCount())
	require.Empty(t, queue.Advance(settled+10*time.Millisecond))
	require.Zero(t, queue.QueuedCount())
	require.Equal(t, Queued, queue.Submit(settled+11*time.Millisecond, mayHaveRun).Outcome)
	require.Zero(t, queue.QueuedCount())
}

// A full queue must refuse the newest of its least urgent requests and stay within its bound.
func TestFullQueueRefusesTheNewestOfTheLeastUrgent(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1000})
	for number := uint64(1); number <= 1000+maximumQueued; number++ {
		request := with(newTestRequest(number), func(r *Request) { r.Level = int(number % 2) })
		require.NotEqual(t, Refused, queue.Submit(settled, request).Outcome)
	}
	require.Equal(t, maximumQueued, queue.QueuedCount())
	added := newTestRequest(5000)
	require.Equal(t, Queued, queue.Submit(settled, added).Outcome)
	at, needed := queue.NextAt()
	require.True(t, needed)
	require.LessOrEqual(t, at, settled, "the refused request must be told at once")
	decided := queue.Advance(settled)
	require.Len(t, decided, 1)
	require.Equal(t, RequestID{Relay: relay, Number: 999 + maximumQueued}, decided[0].ID)
	require.Equal(t, ReasonQueueFull, decided[0].Reason)
	lowest := queue.Submit(settled, with(newTestRequest(5001), func(r *Request) { r.Level = 2 }))
	require.Equal(t, ReasonQueueFull, lowest.Reason)
	require.Equal(t, maximumQueued, queue.QueuedCount())
}

// A full queue must refuse a newcomer before a client of its level that returned at its promised time, even a later one.
func TestFullQueueKeepsReturns(t *testing.T) {
	queue := newTestQueue(&fakeReturns{after: time.Hour, due: map[uint64]bool{9: true}}, BackEnd{Hash: 1, Slots: 1})
	for number := uint64(1); number <= 1+maximumQueued; number++ {
		request := with(newTestRequest(number), func(r *Request) { r.DeadlineAt = settled + time.Hour; r.TargetAt = r.DeadlineAt })
		require.NotEqual(t, Refused, queue.Submit(settled, request).Outcome)
	}
	returned := with(newTestRequest(5000), func(r *Request) { r.Signature, r.DeadlineAt = 9, settled+time.Hour })
	decision := queue.Submit(settled, returned)
	require.Equal(t, Queued, decision.Outcome)
	require.True(t, decision.Returned)
	decided := queue.Advance(settled)
	require.Len(t, decided, 1)
	require.Equal(t, ReasonQueueFull, decided[0].Reason)
	require.EqualValues(t, 1+maximumQueued, decided[0].ID.Number, "the newest newcomer")
}

// The waits that a review computes for all queued requests must be those that are computed for a single one, with free
// slots, with all slots in use, and with more in use than are open.
func TestWaitsOfAReview(t *testing.T) {
	for _, slots := range []int{1, 3, 5, 8} {
		queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 5})
		for number := uint64(1); number <= 20; number++ {
			now := settled + time.Duration(number)*time.Millisecond
			require.NotEqual(t, Refused, queue.Submit(now, newTestRequest(number)).Outcome)
		}
		queue.SetBackEnds(settled, []BackEnd{{Hash: 1, Slots: slots}})
		forecast := queue.newWaitForecast()
		for ahead := range queue.QueuedCount() {
			require.Equal(t, queue.expectedWait(ahead), forecast.wait(ahead), "%d slots, %d ahead", slots, ahead)
		}
	}
}

// Flows must stay bounded while many tenants come and go.
func TestFlowsAreBounded(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 10000})
	for number := uint64(1); number <= 8000; number++ {
		queue.Submit(settled, with(newTestRequest(number), func(r *Request) { r.Tenant = number }))
	}
	require.Equal(t, 8000, queue.HeldCount())
	require.LessOrEqual(t, queue.waiting.flows, maximumFlows+1)
	for number := uint64(1); number <= 8000; number++ {
		queue.Release(settled, RequestID{Relay: relay, Number: number}, Result{})
	}
	require.Zero(t, queue.waiting.flows)
	for _, l := range queue.waiting.levels {
		require.Empty(t, l.flows)
	}
}

// The back end with the lowest load by slots and slowdown must get the request; a slowdown counts for 250 ms.
func TestChoiceOfBackEnd(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 4}, BackEnd{Hash: 2, Slots: 8}, BackEnd{Hash: 3, Slots: 100, Closed: true})
	submit := func(now time.Duration, number uint64, excluded ...uint64) uint64 {
		decision := queue.Submit(now, with(newTestRequest(number), func(r *Request) { r.Excluded = excluded }))
		require.Equal(t, Granted, decision.Outcome)
		return decision.BackEnd
	}
	require.EqualValues(t, 2, submit(settled, 1), "1/8 is less than 1/4")
	require.EqualValues(t, 1, submit(settled, 2, 2), "excluded")
	queue.Release(settled, RequestID{relay, 1}, Result{ServiceTime: time.Millisecond, Slowdown: 6})
	require.EqualValues(t, 1, submit(settled, 3), "2/4 is less than 1/8 * 6")
	require.EqualValues(t, 2, submit(settled+slowdownValidity+1, 4), "the slowdown is over")
	held := queue.HeldCount()
	excluding := with(newTestRequest(5), func(r *Request) { r.Excluded = []uint64{1, 2} })
	require.NotEqual(t, Granted, queue.Submit(settled+slowdownValidity+1, excluding).Outcome, "a closed back end gets no grant")
	require.Equal(t, held, queue.HeldCount())
	queue.SetBackEnds(settled+slowdownValidity+1, []BackEnd{{Hash: 3, Slots: 100, Closed: true}})
	require.Equal(t, Queued, queue.Submit(settled+slowdownValidity+1, newTestRequest(6)).Outcome, "nor if there is no other")
}

// A request that excludes all open back ends must go back to its relay at once, and not wait until its deadline.
func TestRequestThatExcludesAllOpenBackEnds(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1}, BackEnd{Hash: 2, Slots: 1}, BackEnd{Hash: 3, Slots: 1, Closed: true}, BackEnd{Hash: 4})
	for number, mayHaveRun := range []bool{false, true} {
		excluding := with(newTestRequest(uint64(number+1)), func(r *Request) { r.Excluded, r.MayHaveRun = []uint64{1, 2}, mayHaveRun })
		decision := queue.Submit(settled, excluding)
		require.Equal(t, Refused, decision.Outcome)
		require.Equal(t, ReasonNotAwaited, decision.Reason, "for this reason the relay selects a back end by itself")
		require.Equal(t, decision, queue.Submit(settled, excluding), "a repetition gets the same answer")
	}
	require.Zero(t, queue.QueuedCount())

	for number := uint64(3); number <= 4; number++ {
		require.Equal(t, Granted, queue.Submit(settled, newTestRequest(number)).Outcome)
	}
	waiting := with(newTestRequest(5), func(r *Request) { r.Excluded, r.MayHaveRun = []uint64{1}, true })
	require.Equal(t, Queued, queue.Submit(settled, waiting).Outcome)
	queue.SetBackEnds(settled, []BackEnd{{Hash: 1, Slots: 1}})
	decided := queue.Advance(settled + reviewInterval)
	require.Len(t, decided, 1)
	require.Equal(t, waiting.ID, decided[0].ID)
	require.Equal(t, ReasonNotAwaited, decided[0].Reason, "its last back end has left")

	queue.SetBackEnds(settled+reviewInterval, nil)
	excluding := with(newTestRequest(6), func(r *Request) { r.Excluded = []uint64{1, 2} })
	require.Equal(t, Queued, queue.Submit(settled+reviewInterval, excluding).Outcome, "no back end is open, for any request")
}

// A back end that turns requests away must get no grant for 50 ms, then for twice as long each time, up to 1 s.
func TestBackEndThatTurnsRequestsAway(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 2})
	now, number := settled, uint64(1)
	for _, block := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
		require.Equal(t, Granted, queue.Submit(now, newTestRequest(number)).Outcome)
		queue.Release(now, RequestID{relay, number}, Result{TurnedAway: true})
		require.Equal(t, Queued, queue.Submit(now, newTestRequest(number+1)).Outcome)
		require.Empty(t, queue.Advance(now))
		at, needed := queue.NextAt()
		require.True(t, needed)
		require.Equal(t, now+block*time.Millisecond, at)
		now, number = at, number+1
		require.Len(t, queue.Advance(now), 1)
		queue.Cancel(now, RequestID{relay, number})
		number++
	}
	queue.Submit(now, newTestRequest(number))
	queue.Submit(now, newTestRequest(number+1))
	queue.Release(now, RequestID{relay, number}, Result{ServiceTime: time.Millisecond})
	queue.Submit(now, newTestRequest(number+2))
	queue.Release(now, RequestID{relay, number + 1}, Result{TurnedAway: true})
	queue.Release(now, RequestID{relay, number + 2}, Result{TurnedAway: true})
	queue.Submit(now, newTestRequest(number+3))
	queue.Advance(now)
	at, needed := queue.NextAt()
	require.True(t, needed)
	require.Equal(t, now+minimumBlock, at, "a success ends the doubling, and requests in flight during a block do not double it")
}

// Datagrams are repeated and overtake each other: a request gets one slot, and none after its cancellation.
func TestRepetitionsAndCancellations(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	granted := queue.Submit(settled, newTestRequest(1))
	require.Equal(t, granted, queue.Submit(settled+time.Millisecond, newTestRequest(1)))
	require.Equal(t, 1, queue.HeldCount())
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(2)).Outcome)
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(2)).Outcome)
	require.Equal(t, 1, queue.QueuedCount())
	queue.Cancel(settled, RequestID{relay, 2})
	require.Zero(t, queue.QueuedCount())
	require.Equal(t, ReasonNotAwaited, queue.Submit(settled, newTestRequest(2)).Reason)
	queue.Cancel(settled, RequestID{relay, 3})
	require.Equal(t, ReasonNotAwaited, queue.Submit(settled, newTestRequest(3)).Reason)
	queue.Cancel(settled, RequestID{relay, 1})
	require.Zero(t, queue.HeldCount())
	late := queue.Submit(settled, newTestRequest(1))
	require.Equal(t, Refused, late.Outcome, "the slot of a cancelled request is free and may be that of another one")
	require.Equal(t, ReasonNotAwaited, late.Reason)
	require.Zero(t, queue.HeldCount())
}

// After a slow period the service must be tried again; otherwise its results make the Queue refuse all requests
// forever.
func TestServiceIsTriedAgainAfterASlowSpell(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	now := settled + 3*time.Second
	queue.Release(now, RequestID{relay, 1}, Result{ServiceTime: 3 * time.Second})
	short := func(number uint64, now time.Duration) Request {
		return with(newTestRequest(number), func(r *Request) { r.DeadlineAt = now + time.Second })
	}
	require.Equal(t, ReasonDeadline, queue.Submit(now, short(2, now)).Reason)
	now += probeAfter
	require.Equal(t, Granted, queue.Submit(now, short(3, now)).Outcome)
	require.Equal(t, ReasonDeadline, queue.Submit(now, short(4, now)).Reason, "one request is tried")
}

// While an idle service is tried again, the requests that wait behind the first one must not all be tried.
func TestOneQueuedRequestTriesAServiceAgain(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 3})
	queue.Submit(settled, newTestRequest(1))
	now := settled + 3*time.Second
	queue.Release(now, RequestID{relay, 1}, Result{ServiceTime: 3 * time.Second})
	now += probeAfter
	queue.SetBackEnds(now, nil)
	for number := uint64(2); number <= 4; number++ {
		request := with(newTestRequest(number), func(r *Request) { r.DeadlineAt = now + time.Second })
		require.Equal(t, Queued, queue.Submit(now, request).Outcome)
	}
	now += time.Millisecond
	queue.SetBackEnds(now, []BackEnd{{Hash: 1, Slots: 3}})
	queue.Advance(now)
	require.Equal(t, 1, queue.HeldCount())
	for _, decision := range queue.Advance(now) {
		require.Equal(t, ReasonDeadline, decision.Reason)
	}
	require.Zero(t, queue.QueuedCount())
}

// fakeReturns promises a return after a fixed time and lets a set of signatures in.
type fakeReturns struct {
	after  time.Duration
	due    map[uint64]bool
	keep   int
	caller returnplan.Caller
	room   returnplan.Room
}

func (f *fakeReturns) Promise(now time.Duration, caller returnplan.Caller, room returnplan.Room, latest time.Duration, _ float64) (time.Duration, bool) {
	f.caller, f.room = caller, room
	return now + f.after, now+f.after <= latest
}

func (f *fakeReturns) Redeem(_ time.Duration, signature uint64) (returnplan.Promise, bool) {
	due := f.due[signature]
	delete(f.due, signature)
	return returnplan.Promise{}, due
}

func (f *fakeReturns) DueUntil(now, until time.Duration) int {
	if until < now {
		return 0
	}
	return f.keep
}

func (f *fakeReturns) Expire(time.Duration) {}

// Clients that return at their time must go before newcomers of their level, and after more urgent ones.
func TestReturnsGoBeforeNewcomers(t *testing.T) {
	queue := newTestQueue(&fakeReturns{after: time.Hour, due: map[uint64]bool{33: true, 44: true}}, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	queue.Submit(settled, with(newTestRequest(2), func(r *Request) { r.Level = 1; r.TargetAt -= time.Second }))
	queue.Submit(settled, with(newTestRequest(3), func(r *Request) { r.Level, r.Signature = 1, 33 }))
	queue.Submit(settled, newTestRequest(5))
	other := with(newTestRequest(6), func(r *Request) { r.Level, r.Tenant = 1, 2 })
	require.Equal(t, 200*time.Millisecond, queue.Submit(settled, other).ExpectedWait, "the slot in use, then 5, 3 and 2, at 50 ms each")
	queue.Cancel(settled, other.ID)
	again := with(newTestRequest(4), func(r *Request) { r.Level, r.Signature, r.Excluded = 1, 44, []uint64{9} })
	require.False(t, queue.Submit(settled, again).Returned, "a further attempt must not redeem the promise of another client")
	require.Equal(t, []uint64{5, 3, 2, 4}, grantedInTurn(t, queue, settled+50*time.Millisecond, 1))
}

// A request that would miss its target is refused if its client can return soon; otherwise it must stay queued.
func TestRefusalForTheTargetNeedsAPromise(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			returns := &fakeReturns{after: after, due: map[uint64]bool{9: true}}
			queue := newTestQueue(returns, BackEnd{Hash: 1, Slots: 1})
			for number := uint64(1); number <= 10; number++ {
				queue.Submit(settled, newTestRequest(number))
			}
			missing := func(number uint64) Request {
				return with(newTestRequest(number), func(r *Request) { r.Level, r.TargetAt = 1, settled+100*time.Millisecond })
			}
			decision := queue.Submit(settled, missing(11))
			if after > 20*time.Second/returnFraction {
				require.Equal(t, Queued, decision.Outcome, "a third of the 20 s left is too little for 10 s")
				return
			}
			require.Equal(t, ReasonTarget, decision.Reason)
			require.True(t, decision.Promised)
			require.Equal(t, after, decision.RetryAfter)
			require.Equal(t, returnplan.Room{PerSecond: 20, Backlog: 9}, returns.room, "nine more urgent requests are queued")
			require.Equal(t, returnplan.Caller{Tenant: 1, Level: 1, FirstRefusedAt: settled}, returns.caller)
			returned := with(missing(12), func(r *Request) { r.Signature = 9 })
			require.Equal(t, Queued, queue.Submit(settled, returned).Outcome, "a client that returned at its time is not sent away again")
			queue.Submit(settled, missing(13))
			require.Equal(t, 10, returns.room.Backlog, "the return is queued as well")
			returns.after = 21 * time.Second // no promise is possible, so that newcomers wait
			require.Equal(t, Queued, queue.Submit(settled, missing(14)).Outcome)
			returns.after = after
			require.Equal(t, ReasonTarget, queue.Submit(settled, missing(15)).Reason)
			require.Equal(t, 10, returns.room.Backlog, "a return goes before queued newcomers of its level")
		})
	}
}

// While returns are due for which no slot comes free in time, a newcomer must not take the last slots.
func TestSlotsAreKeptForReturns(t *testing.T) {
	returns := &fakeReturns{after: time.Hour, due: map[uint64]bool{9: true}, keep: 2}
	queue := newTestQueue(returns, BackEnd{Hash: 1, Slots: 2})
	queue.serviceTime.add(2 * time.Second)
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(1)).Outcome)
	require.Empty(t, queue.Advance(settled))
	at, needed := queue.NextAt()
	require.True(t, needed)
	require.Equal(t, settled+newcomerRecheckInterval, at)
	require.Equal(t, Granted, queue.Submit(settled, with(newTestRequest(2), func(r *Request) { r.Signature = 9 })).Outcome)
	returns.keep = 0
	require.Len(t, queue.Advance(at), 1)
}

// A new owner that may grant only half of the slots must keep these for returns: the other free slots do not count.
func TestNewOwnerKeepsItsSlotsForReturns(t *testing.T) {
	returns := &fakeReturns{after: time.Hour, due: map[uint64]bool{8: true, 9: true}, keep: 2}
	queue := newTestQueue(returns, BackEnd{Hash: 1, Slots: 4})
	queue.serviceTime.add(2 * time.Second)
	queue.BeginOwnership(settled)
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(1)).Outcome)
	for number := uint64(8); number <= 9; number++ {
		returning := with(newTestRequest(number), func(r *Request) { r.Signature = number })
		require.Equal(t, Granted, queue.Submit(settled, returning).Outcome)
	}
	returns.keep = 0
	require.Empty(t, queue.Advance(settled+takeoverPeriod-1))
	require.Len(t, queue.Advance(settled+takeoverPeriod), 1)
}
