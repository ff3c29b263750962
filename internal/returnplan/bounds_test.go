package returnplan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromisesForOneSignatureAreBounded guards against a client that takes all promises by repeating its request.
func TestPromisesForOneSignatureAreBounded(t *testing.T) {
	plan := New(span)
	caller := Caller{Signature: 1}
	for range maximumPerSignature {
		_, promised := plan.Promise(0, caller, Room{PerSecond: 1000}, clientTimeout, 0.5)
		require.True(t, promised)
	}
	at, promised := plan.Promise(0, caller, Room{PerSecond: 1000}, clientTimeout, 0.5)
	require.False(t, promised)
	require.Greater(t, at, time.Duration(0), "an unpromised time")
	_, promised = plan.Promise(0, Caller{Signature: 2}, Room{PerSecond: 1000}, clientTimeout, 0.5)
	require.True(t, promised, "other signatures are not affected")
}

// TestPromisesAreBounded guards against a table that grows with the number of refused clients, at owner and deputy.
func TestPromisesAreBounded(t *testing.T) {
	owner, deputy := newTestOwner(), New(span)
	room := Room{PerSecond: 10_000}
	for range maximumPromises {
		_, promised := owner.refuse(0, room, 1, 0)
		require.True(t, promised)
	}
	_, promised := owner.refuse(0, room, 1, 0)
	require.False(t, promised)
	changes := owner.plan.Changes()
	require.Len(t, changes, maximumPromises)
	for _, change := range changes {
		deputy.ApplyChange(0, change)
	}
	deputy.ApplyChange(0, Change{Promise: Promise{Signature: math.MaxUint64, DueAt: time.Second}})
	require.Equal(t, maximumPromises, deputy.DueUntil(0, clientTimeout))
	deputy.Expire(clientTimeout)
	require.Zero(t, deputy.DueUntil(clientTimeout, 2*clientTimeout))
	require.Empty(t, deputy.promises.bySignature)
}

// TestChangesAreBounded guards against changes that pile up while nobody sends them.
func TestChangesAreBounded(t *testing.T) {
	owner := newTestOwner()
	for i := range maximumChanges + 10 {
		owner.refuse(time.Duration(i)*10*time.Millisecond, Room{PerSecond: 180}, 1, 0)
	}
	require.Len(t, owner.plan.changes, maximumChanges)
	require.Equal(t, owner.signature, owner.plan.changes[maximumChanges-1].Promise.Signature, "the newest are kept")
}

// TestAccountsAreBounded guards against a table that grows with the names that clients send.
func TestAccountsAreBounded(t *testing.T) {
	owner := newTestOwner()
	for tenant := range uint64(2 * maximumAccounts) {
		owner.refuse(0, Room{PerSecond: 180}, tenant+1, int(tenant%3))
	}
	require.LessOrEqual(t, owner.plan.tenants.count, maximumAccounts+maximumLevel+1)
	owner.plan.Expire(2 * horizon)
	require.Zero(t, owner.plan.tenants.count, "idle accounts are dropped")
	for _, level := range owner.plan.tenants.levels {
		require.Empty(t, level.accounts)
	}
}

// TestRefusalsAreBounded guards against a table that grows with the clients that are refused without a promise.
func TestRefusalsAreBounded(t *testing.T) {
	owner := newTestOwner()
	for range 2 * maximumRefusals {
		owner.refuse(0, Room{}, 1, 0)
	}
	require.Len(t, owner.plan.refusals.bySignature, maximumRefusals)
	owner.plan.Expire(2 * horizon)
	require.Empty(t, owner.plan.refusals.bySignature)
}

// TestUnusableInputs guards against panics and endless loops by values that no caller should pass.
func TestUnusableInputs(t *testing.T) {
	rooms := []Room{
		{PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}, {PerSecond: math.Inf(-1), Backlog: -5},
		{PerSecond: -1}, {PerSecond: 1e300, Backlog: math.MaxInt}, {PerSecond: 1, Backlog: math.MaxInt},
	}
	for _, room := range rooms {
		for _, draw := range []float64{-1, 0, 1, 2, math.NaN()} {
			plan := New(0)
			caller := Caller{Signature: 1, Level: math.MaxInt, FirstRefusedAt: time.Hour}
			at, _ := plan.Promise(0, caller, room, clientTimeout, draw)
			require.GreaterOrEqual(t, at, time.Duration(0))
			require.LessOrEqual(t, at, maximumExpected+time.Second)
		}
	}
}
