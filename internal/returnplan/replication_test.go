package returnplan

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// clockOffset is how far the deputy's clock is ahead of the owner's.
const clockOffset = 1000 * time.Second

// transfer returns a change as the deputy receives it in a SlotPromise: sent at sentAt by the owner's clock, received
// after the delay, with times by the deputy's clock.
func transfer(change Change, sentAt, delay time.Duration) (receivedAt time.Duration, received Change) {
	message := &v1.SlotPromise{
		Signature: change.Promise.Signature, Tenant: change.Promise.Tenant, Level: uint32(change.Promise.Level),
		DueUs: uint64(max(change.Promise.DueAt-sentAt, 0) / time.Microsecond), Redeemed: change.Redeemed,
	}
	receivedAt = sentAt + delay + clockOffset
	return receivedAt, Change{Redeemed: message.Redeemed, Promise: Promise{
		Signature: message.Signature, Tenant: message.Tenant, Level: int(message.Level),
		DueAt: receivedAt + time.Duration(message.DueUs)*time.Microsecond,
	}}
}

// replicate sends the owner's new changes to the deputy.
func replicate(owner, deputy *Plan, sentAt time.Duration) {
	for _, change := range owner.Changes() {
		receivedAt, received := transfer(change, sentAt, 2*time.Millisecond)
		deputy.ApplyChange(receivedAt, received)
	}
}

// TestDeputyHonoursPromises guards against promises that are lost with the owner.
func TestDeputyHonoursPromises(t *testing.T) {
	owner, deputy := newTestOwner(), New(span)
	room := Room{PerSecond: 180}
	var promises []Promise
	for range 40 {
		at, promised := owner.refuse(0, room, 3, 1)
		require.True(t, promised)
		promises = append(promises, Promise{Signature: owner.signature, Tenant: 3, Level: 1, DueAt: at})
	}
	replicate(owner.plan, deputy, 0)
	require.Empty(t, owner.plan.Changes(), "each change is returned once")
	require.Equal(t, len(promises), deputy.DueUntil(clockOffset, clockOffset+clientTimeout))
	slices.SortFunc(promises, func(a, b Promise) int { return cmp.Compare(a.DueAt, b.DueAt) })
	for _, expected := range promises {
		promise, due := deputy.Redeem(expected.DueAt+clockOffset, expected.Signature)
		require.True(t, due)
		require.InDelta(t, expected.DueAt+clockOffset, promise.DueAt, float64(3*time.Millisecond))
		promise.DueAt = expected.DueAt
		require.Equal(t, expected, promise)
	}
}

// TestDeputyForgetsRedeemedPromises guards against a second return by one promise, and against slots kept free for it.
func TestDeputyForgetsRedeemedPromises(t *testing.T) {
	owner, deputy := newTestOwner(), New(span)
	at, _ := owner.refuse(0, Room{PerSecond: 180}, 3, 0)
	replicate(owner.plan, deputy, 0)
	_, due := owner.plan.Redeem(at+10*time.Millisecond, owner.signature)
	require.True(t, due)
	replicate(owner.plan, deputy, at+10*time.Millisecond)
	require.Zero(t, deputy.DueUntil(clockOffset+at+12*time.Millisecond, clockOffset+clientTimeout))
	_, due = deputy.Redeem(clockOffset+at+12*time.Millisecond, owner.signature)
	require.False(t, due)
}

// TestRepeatedAndReorderedChanges guards against datagrams that arrive twice, late or not at all.
func TestRepeatedAndReorderedChanges(t *testing.T) {
	promise := func(dueAt time.Duration) Promise { return Promise{Signature: 1, DueAt: dueAt} }
	first, second := promise(time.Second), promise(time.Second+span)
	cases := []struct {
		name    string
		changes []Change
		left    int
	}{
		{"twice", []Change{{Promise: first}, {Promise: promise(time.Second + 3*time.Millisecond)}}, 1},
		{"two clients of one signature", []Change{{Promise: first}, {Promise: second}}, 2},
		{"one of two redeemed", []Change{{Promise: first}, {Promise: second}, {Promise: first, Redeemed: true}}, 1},
		{"redeemed twice", []Change{{Promise: first}, {Promise: second}, {Promise: first, Redeemed: true}, {Promise: first, Redeemed: true}}, 1},
		{"redeemed before it was made", []Change{{Promise: first, Redeemed: true}, {Promise: first}}, 1},
		{"due long ago", []Change{{Promise: promise(-time.Second)}}, 0},
		{"due beyond the horizon", []Change{{Promise: promise(horizon + time.Second)}}, 0},
		{"negative level", []Change{{Promise: Promise{Signature: 1, Level: -1, DueAt: time.Second}}}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deputy := New(span)
			for _, change := range test.changes {
				deputy.ApplyChange(0, change)
			}
			require.Equal(t, test.left, deputy.DueUntil(0, 2*horizon))
			require.Empty(t, deputy.Changes(), "changes of the owner are not sent back")
		})
	}
}

// TestLostPlanRefusesNobody guards against an owner without promises that treats returning clients worse than newcomers.
func TestLostPlanRefusesNobody(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	at, _ := owner.refuse(0, room, 3, 0)
	successor := New(span)
	promise, due := successor.Redeem(at, owner.signature)
	require.False(t, due)
	require.Zero(t, promise)
	again, promised := successor.Promise(at, Caller{Signature: owner.signature, Tenant: 3}, room, at+clientTimeout, 0)
	require.True(t, promised)
	newcomer, _ := New(span).Promise(at, Caller{Signature: 99, Tenant: 3, FirstRefusedAt: at}, room, at+clientTimeout, 0)
	require.Equal(t, newcomer, again)
}
