package returnplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromisesFitTheRoom guards against more promises in a span than slots come free in it, and against spans that are
// left empty while callers wait.
func TestPromisesFitTheRoom(t *testing.T) {
	cases := []struct {
		name string
		room Room
		// first is the span of the first promise, and perSecond the promises in each full second after it.
		first     time.Duration
		perSecond int
	}{
		{"nine slots in a span", Room{PerSecond: 180}, span, 180},
		{"a slot in every fourth span", Room{PerSecond: 5}, 200*time.Millisecond - span, 5},
		{"two and a half slots in a span", Room{PerSecond: 50}, span, 50},
		{"after the backlog", Room{PerSecond: 180, Backlog: 90}, 500 * time.Millisecond, 180},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			owner := newTestOwner()
			for range 3 * test.perSecond {
				_, promised := owner.refuse(0, test.room, 7, 0)
				require.True(t, promised)
			}
			counts := countBySpan(owner.plan)
			sum := 0
			for start := test.first; start < test.first+2*time.Second; start += span {
				require.Equal(t, countBetween(test.room.PerSecond, start, start+span), counts[start], start)
				sum += counts[start]
			}
			require.InDelta(t, 2*test.perSecond, sum, 1, "a slot may come free at the border of two spans")
			require.Equal(t, test.first, owner.plan.book.byTime[0].DueAt.Truncate(span))
		})
	}
}

// TestTimesAreSpreadWithinASpan guards against returns that all come at the start of a span.
func TestTimesAreSpreadWithinASpan(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 80}
	for i, draw := range []float64{0, 0.25, 0.5, 0.9999999999999999} {
		at, promised := plan.Promise(0, Caller{Signature: uint64(1 + i)}, room, patience, draw)
		require.True(t, promised)
		require.Equal(t, span, at.Truncate(span))
		require.InDelta(t, draw*float64(span), float64(at-span), 1)
	}
}

// TestPromisesAreInTime guards against promises after the latest time and in spans that have begun.
func TestPromisesAreInTime(t *testing.T) {
	room := Room{PerSecond: 200}
	plan := New(span)
	at, promised := plan.Promise(20*time.Millisecond, Caller{Signature: 1}, room, 60*time.Millisecond, 0.5)
	require.True(t, promised)
	require.Equal(t, 55*time.Millisecond, at, "spread over the part of the span until the latest time")
	at, promised = plan.Promise(20*time.Millisecond, Caller{Signature: 2}, room, 49*time.Millisecond, 0.5)
	require.False(t, promised)
	require.Equal(t, 75*time.Millisecond, at, "when there is room")
	require.Equal(t, 1, plan.DueUntil(20*time.Millisecond, time.Second), "no slot is kept for an unpromised time")
}

// TestUnpromisedTimesAreTrue guards against clients that are told to come while the slots are taken.
func TestUnpromisedTimesAreTrue(t *testing.T) {
	cases := []struct {
		name     string
		room     Room
		earliest time.Duration
	}{
		{"backlog of two seconds", Room{PerSecond: 100, Backlog: 200}, 2 * time.Second},
		{"backlog beyond the horizon", Room{PerSecond: 2, Backlog: 99}, 50 * time.Second},
		{"no completions", Room{PerSecond: 0, Backlog: 3}, horizon},
		{"a long backlog", Room{PerSecond: 1e-9, Backlog: 1}, maximumExpected},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			at, promised := New(span).Promise(time.Minute, Caller{Signature: 1}, test.room, time.Minute+time.Second, 0.5)
			require.False(t, promised)
			require.GreaterOrEqual(t, at, time.Minute+test.earliest)
			require.LessOrEqual(t, at, time.Minute+test.earliest+span)
		})
	}
}

// TestMoreUrgentCallersComeFirst offers twice the room, a quarter of it by the more urgent level.
func TestMoreUrgentCallersComeFirst(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var byLevel [2]waits
	for i := range 3 * 360 {
		now := time.Duration(i) * time.Second / 360
		level := min(i%4, 1)
		at, promised := owner.refuse(now, room, 7, level)
		if now >= time.Second { // the demand is known
			byLevel[level].add(at-now, promised)
		}
	}
	t.Log("mean wait by level:", byLevel[0].mean(), byLevel[1].mean(), "promised:", byLevel[0].promised, byLevel[1].promised)
	require.Equal(t, byLevel[0].asked, byLevel[0].promised)
	require.Less(t, byLevel[0].mean()*2, byLevel[1].mean())
}

// TestLongerWaitingCallersComeFirst offers twice the room by callers of one level of which every fourth has waited.
func TestLongerWaitingCallersComeFirst(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var waited, fresh waits
	for i := range 3 * 360 {
		now := time.Duration(i) * time.Second / 360
		caller, kind := Caller{Tenant: 7, FirstRefusedAt: now}, &fresh
		if i%4 == 0 {
			caller.FirstRefusedAt, kind = now-2*time.Second, &waited
		}
		at, promised := owner.refuseCaller(now, room, caller)
		if now >= time.Second { // the demand is known
			kind.add(at-now, promised)
		}
	}
	t.Log("mean wait:", waited.mean(), fresh.mean())
	require.Equal(t, waited.asked, waited.promised)
	require.Less(t, waited.mean()*2, fresh.mean())
}

// TestTenantsGetFairShares offers more than twice the room by one large tenant, and a tenth of it by each of three
// small ones. The small ones' returns must not queue behind the large one's, and the large one gets what they leave.
func TestTenantsGetFairShares(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var small, large waits
	for i := range 4 * 540 {
		now := time.Duration(i) * time.Second / 540
		tenant, kind := uint64(1), &large
		if i%10 == 0 {
			tenant, kind = uint64(2+i/10%3), &small
		}
		at, promised := owner.refuse(now, room, tenant, 0)
		if now >= time.Second { // the demand is known
			kind.add(at-now, promised)
		}
	}
	t.Log("small:", small, small.mean(), "large:", large, large.mean())
	require.Equal(t, small.asked, small.promised)
	require.Less(t, small.mean(), 4*span)
	booked := 0
	for start, count := range countBySpan(owner.plan) {
		if start >= 4*time.Second && start < 6*time.Second {
			booked += count
		}
	}
	// Each second 54 promises go to the small tenants.
	require.Greater(t, float64(booked), 0.95*2*(180*(1-catchUpShare)-54), "the large tenant gets the share that small ones do not use")
}

// TestLargeTenantThatAsksFirstLeavesRoom guards against a burst of one tenant that takes all returns of the next spans.
func TestLargeTenantThatAsksFirstLeavesRoom(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	owner.refuse(0, room, 2, 0) // another tenant is known
	for range 400 {
		owner.refuse(time.Millisecond, room, 1, 0)
	}
	for tenant := range uint64(3) {
		at, promised := owner.refuse(2*time.Millisecond, room, 10+tenant, 0)
		require.True(t, promised)
		require.Less(t, at, 6*span, "tenant %d", tenant)
	}
}

// TestEarlyAndFrequentRepetitionGainsNothing compares a client that repeats its request every 5 ms with one that waits.
func TestEarlyAndFrequentRepetitionGainsNothing(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	const impatient, patient = 1_000_001, 1_000_002
	ask := func(now time.Duration, signature uint64) time.Duration {
		at, promised := owner.plan.Promise(now, Caller{Signature: signature, FirstRefusedAt: 0}, room, now+patience, 0.5)
		require.True(t, promised)
		return at
	}
	first := ask(0, impatient)
	waiting := ask(0, patient)
	previous := first
	for now := 5 * time.Millisecond; now < first-earlyTolerance; now += 5 * time.Millisecond {
		promise, due := owner.plan.Redeem(now, impatient)
		require.False(t, due)
		require.Equal(t, first, promise.DueAt, "a promise is never moved")
		other, _ := owner.refuse(now, room, 0, 0)
		further := ask(now, impatient)
		require.GreaterOrEqual(t, further, previous+span)
		require.Greater(t, further, other, "after promises that others asked for before")
		previous = further
	}
	_, due := owner.plan.Redeem(waiting, patient)
	require.True(t, due)
	_, due = owner.plan.Redeem(first, impatient)
	require.True(t, due)
	_, due = owner.plan.Redeem(first, impatient)
	require.False(t, due, "one promise lets one request in")
}

// TestRepetitionDoesNotRaiseDemand guards against a client that keeps places free for itself by asking often.
func TestRepetitionDoesNotRaiseDemand(t *testing.T) {
	demandAfter := func(questions int) float64 {
		plan := New(span)
		for i := range questions {
			now := time.Duration(i) * time.Millisecond
			plan.Promise(now, Caller{Signature: 1, FirstRefusedAt: now}, Room{PerSecond: 180}, patience, 0.5)
		}
		return plan.demand.before(time.Second, firstRank(maximumLevel+1))
	}
	require.Positive(t, demandAfter(1))
	require.Equal(t, demandAfter(1), demandAfter(100))
}

// TestEarlyRepetitionWithoutPromiseGainsNothing guards against a client that gets an earlier place than it was told by
// asking until one is free.
func TestEarlyRepetitionWithoutPromiseGainsNothing(t *testing.T) {
	plan := New(span)
	caller := Caller{Signature: 1}
	told, promised := plan.Promise(0, caller, Room{PerSecond: 180, Backlog: 180}, 100*time.Millisecond, 0.5)
	require.False(t, promised)
	require.Greater(t, told, time.Second)
	free := Room{PerSecond: 180}
	_, promised = plan.Promise(200*time.Millisecond, caller, free, 300*time.Millisecond, 0.5)
	require.False(t, promised, "too early")
	at, promised := plan.Promise(200*time.Millisecond, caller, free, patience, 0.5)
	require.True(t, promised)
	require.GreaterOrEqual(t, at, told)
	other, promised := plan.Promise(200*time.Millisecond, Caller{Signature: 2}, free, 300*time.Millisecond, 0.5)
	require.True(t, promised)
	require.Less(t, other, told)
}

// TestPlanKnowsFirstRefusal guards against clients that return as told, without a promise, and are ranked as newcomers.
func TestPlanKnowsFirstRefusal(t *testing.T) {
	cases := []struct {
		name      string
		returnsAt func(told time.Duration) time.Duration
		waited    bool
	}{
		{"as told", func(told time.Duration) time.Duration { return told }, true},
		{"a little late", func(told time.Duration) time.Duration { return told + lateTolerance }, true},
		{"early", func(told time.Duration) time.Duration { return told - span }, false},
		{"late", func(told time.Duration) time.Duration { return told + lateTolerance + 1 }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := New(span)
			told, _ := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180, Backlog: 180}, 0, 0.5)
			now := test.returnsAt(told)
			question := plan.newQuestion(now, Caller{Signature: 1, FirstRefusedAt: now})
			require.Equal(t, test.waited, question.rank < rankOf(0, 0))
		})
	}
}

// TestUnknownSignatureGetsNoPromise guards against a promise that any client without a signature could redeem.
func TestUnknownSignatureGetsNoPromise(t *testing.T) {
	plan := New(span)
	for range 3 {
		at, promised := plan.Promise(0, Caller{}, Room{PerSecond: 180}, patience, 0.5)
		require.False(t, promised)
		require.Equal(t, 75*time.Millisecond, at, "when there is room")
	}
	plan.ApplyChange(0, Change{Promise: Promise{DueAt: time.Second}})
	_, due := plan.Redeem(time.Second, 0)
	require.False(t, due)
}

// TestSingleTenantGetsAllPlaces guards against places that are left to tenants that do not exist.
func TestSingleTenantGetsAllPlaces(t *testing.T) {
	owner := newTestOwner()
	for i := range 3 * 540 {
		owner.refuse(time.Duration(i)*time.Second/540, Room{PerSecond: 180}, 1, 0)
	}
	counts := countBySpan(owner.plan)
	for start := 3 * time.Second; start < 5*time.Second; start += span {
		require.Equal(t, countBetween(180, start, start+span), counts[start], start)
	}
}

// TestUrgentDemandLeavesTrueTimes guards against less urgent callers that are told to wait for the end of the horizon.
func TestUrgentDemandLeavesTrueTimes(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	for i := range 200 {
		owner.refuse(time.Duration(i)*time.Second/400, room, 1, 0)
	}
	at, promised := owner.refuse(500*time.Millisecond, room, 1, 1)
	require.False(t, promised, "urgent callers ask for all places")
	require.InDelta(t, 500*time.Millisecond+time.Second*200/180, at, float64(200*time.Millisecond))
}

// TestClientsWithOneSignatureRedeemOnePromiseEach guards against identical requests that share one promise.
func TestClientsWithOneSignatureRedeemOnePromiseEach(t *testing.T) {
	plan := New(span)
	const clients = 5
	var times []time.Duration
	for range clients {
		at, promised := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180}, patience, 0.5)
		require.True(t, promised)
		times = append(times, at)
	}
	require.IsIncreasing(t, times)
	for i, at := range times {
		promise, due := plan.Redeem(at, 1)
		require.True(t, due)
		require.Equal(t, at, promise.DueAt, "the earliest first")
		require.Equal(t, clients-1-i, plan.DueUntil(at, patience))
	}
}

// TestReturnWindow guards against promises that do not count for a client that is on time, or count for one that is not.
func TestReturnWindow(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		due   bool
	}{
		{"too early", -earlyTolerance - 1, false},
		{"a little early", -earlyTolerance, true},
		{"on time", 0, true},
		{"a little late", lateTolerance, true},
		{"too late", lateTolerance + 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := New(span)
			at, _ := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180}, patience, 0.5)
			_, due := plan.Redeem(at+test.after, 1)
			require.Equal(t, test.due, due)
		})
	}
}

// TestUnredeemedPromiseLapses guards against slots that are kept free for clients that never return.
func TestUnredeemedPromiseLapses(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 20} // one slot in each span
	at, _ := plan.Promise(0, Caller{Signature: 1}, room, patience, 0.5)
	require.Equal(t, 1, plan.DueUntil(at+lateTolerance, at+lateTolerance))
	after := at + lateTolerance + 1
	require.Zero(t, plan.DueUntil(after, patience))
	promise, due := plan.Redeem(after, 1)
	require.False(t, due)
	require.Zero(t, promise)
	again, promised := plan.Promise(after, Caller{Signature: 1}, room, patience, 0)
	require.True(t, promised)
	require.LessOrEqual(t, again-after, span, "a lapsed promise does not delay the next one")
}

// TestRedeemedPlaceIsFree guards against a place that stays taken once its client has returned early.
func TestRedeemedPlaceIsFree(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 20}
	at, _ := plan.Promise(0, Caller{Signature: 1}, room, patience, 0)
	require.Equal(t, span, at)
	_, due := plan.Redeem(at-earlyTolerance, 1)
	require.True(t, due)
	next, promised := plan.Promise(at-earlyTolerance, Caller{Signature: 2}, room, patience, 0)
	require.True(t, promised)
	require.Equal(t, at, next)
}
