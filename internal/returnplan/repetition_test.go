package returnplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEarlyAndFrequentRepetitionGainsNothing compares a client that repeats its request every 5 ms with one that waits.
func TestEarlyAndFrequentRepetitionGainsNothing(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	const impatient, patient = 1_000_001, 1_000_002
	ask := func(now time.Duration, signature uint64) time.Duration {
		at, promised := owner.plan.Promise(now, Caller{Signature: signature, FirstRefusedAt: 0}, room, now+clientTimeout, 0.5)
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

// TestRepetitionWaitsForOthers guards against a client that overtakes others by repeating its request when there is
// more capacity.
func TestRepetitionWaitsForOthers(t *testing.T) {
	owner := newTestOwner()
	caller := Caller{Signature: 1 << 32}
	_, promised := owner.plan.Promise(0, caller, Room{PerSecond: 180}, clientTimeout, 0)
	require.True(t, promised)
	for range 100 {
		owner.refuse(0, Room{PerSecond: 180}, 0, 0)
	}
	lastOfOthers := owner.plan.promises.byTime[100].DueAt
	again, promised := owner.plan.Promise(0, caller, Room{PerSecond: 500}, clientTimeout, 0)
	require.True(t, promised)
	require.Greater(t, again, lastOfOthers)
}

// TestRepetitionWaitsForItsLevelOnly guards against further promises that queue behind less urgent ones.
func TestRepetitionWaitsForItsLevelOnly(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	for range 100 {
		owner.refuse(0, room, 0, 1)
	}
	lastOfOthers := owner.plan.promises.byTime[99].DueAt
	room.PerSecond = 500
	first, _ := owner.plan.Promise(0, Caller{Signature: 1 << 32}, room, clientTimeout, 0)
	second, promised := owner.plan.Promise(0, Caller{Signature: 1 << 32}, room, clientTimeout, 0)
	require.True(t, promised)
	require.Equal(t, first+span, second)
	require.Less(t, second, lastOfOthers)
}

// TestRepetitionDoesNotRaiseDemand guards against a client that has slots reserved for itself by repeating its request.
func TestRepetitionDoesNotRaiseDemand(t *testing.T) {
	demandAfter := func(requests int) float64 {
		plan := New(span)
		for i := range requests {
			now := time.Duration(i) * time.Millisecond
			plan.Promise(now, Caller{Signature: 1, FirstRefusedAt: now}, Room{PerSecond: 180}, clientTimeout, 0.5)
		}
		return plan.demand.before(time.Second, firstRank(maximumLevel+1))
	}
	require.Positive(t, demandAfter(1))
	require.Equal(t, demandAfter(1), demandAfter(100))
}

// TestEarlyRepetitionWithoutPromiseGainsNothing guards against a client that gets a slot before the time that it was
// given by repeating its request until one is free.
func TestEarlyRepetitionWithoutPromiseGainsNothing(t *testing.T) {
	plan := New(span)
	caller := Caller{Signature: 1}
	told, promised := plan.Promise(0, caller, Room{PerSecond: 180, Backlog: 180}, 100*time.Millisecond, 0.5)
	require.False(t, promised)
	require.Greater(t, told, time.Second)
	free := Room{PerSecond: 180}
	_, promised = plan.Promise(200*time.Millisecond, caller, free, 300*time.Millisecond, 0.5)
	require.False(t, promised, "too early")
	at, promised := plan.Promise(200*time.Millisecond, caller, free, clientTimeout, 0.5)
	require.True(t, promised)
	require.GreaterOrEqual(t, at, told)
	other, promised := plan.Promise(200*time.Millisecond, Caller{Signature: 2}, free, 300*time.Millisecond, 0.5)
	require.True(t, promised)
	require.Less(t, other, told)
}

// TestPlanKnowsFirstRefusal guards against clients that return at the given time, without a promise, and are ranked as
// newcomers.
func TestPlanKnowsFirstRefusal(t *testing.T) {
	cases := []struct {
		name      string
		returnsAt func(told time.Duration) time.Duration
		waited    bool
	}{
		{"as told", func(told time.Duration) time.Duration { return told }, true},
		{"a little early", func(told time.Duration) time.Duration { return told - earlyTolerance }, true},
		{"a little late", func(told time.Duration) time.Duration { return told + lateTolerance }, true},
		{"early", func(told time.Duration) time.Duration { return told - span }, false},
		{"late", func(told time.Duration) time.Duration { return told + lateTolerance + 1 }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := New(span)
			told, _ := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180, Backlog: 180}, 0, 0.5)
			now := test.returnsAt(told)
			request := plan.newPromiseRequest(now, Caller{Signature: 1, FirstRefusedAt: now})
			require.Equal(t, test.waited, request.rank < rankOf(0, 0))
		})
	}
}

// TestUnknownSignatureGetsNoPromise guards against a promise that any client without a signature could redeem.
func TestUnknownSignatureGetsNoPromise(t *testing.T) {
	plan := New(span)
	for range 3 {
		at, promised := plan.Promise(0, Caller{}, Room{PerSecond: 180}, clientTimeout, 0.5)
		require.False(t, promised)
		require.Equal(t, 75*time.Millisecond, at, "when there is room")
	}
	plan.ApplyChange(0, Change{Promise: Promise{DueAt: time.Second}})
	_, due := plan.Redeem(time.Second, 0)
	require.False(t, due)
}

// TestClientsWithOneSignatureRedeemOnePromiseEach guards against identical requests that share one promise.
func TestClientsWithOneSignatureRedeemOnePromiseEach(t *testing.T) {
	plan := New(span)
	const clients = 5
	var times []time.Duration
	for range clients {
		at, promised := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180}, clientTimeout, 0.5)
		require.True(t, promised)
		times = append(times, at)
	}
	require.IsIncreasing(t, times)
	for i, at := range times {
		promise, due := plan.Redeem(at, 1)
		require.True(t, due)
		require.Equal(t, at, promise.DueAt, "the earliest first")
		require.Equal(t, clients-1-i, plan.DueUntil(at, clientTimeout))
	}
}

// TestRepetitionBeyondTheHorizonIsNotTooEarly guards against an unpromised time before the client's own last promise.
func TestRepetitionBeyondTheHorizonIsNotTooEarly(t *testing.T) {
	plan := New(span)
	latest := 2 * horizon
	plan.ApplyChange(0, Change{Promise: Promise{Signature: 1, DueAt: horizon}})
	at, promised := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180}, latest, 0)
	require.False(t, promised)
	require.GreaterOrEqual(t, at, horizon+span)
}
