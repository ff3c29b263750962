package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	relayCount   = 71
	backEndCount = 3
	slotCount    = 6
	// capacity is how many requests the service serves in a second while all its slots work.
	capacity = float64(backEndCount*slotCount) * float64(time.Second) / float64(meanServiceTime)
	runTime  = 10 * time.Second
	// largeTenant is the tenant that sends more than the others together.
	largeTenant = 1000
)

// newClients returns one client for each of a number of tenants; together they send so many requests in a second.
func newClients(count int, perSecond float64, like client) []client {
	var clients []client
	for i := range count {
		like.tenant, like.perSecond = uint64(i+1), perSecond/float64(count)
		clients = append(clients, like)
	}
	return clients
}

func newServiceFleet(seed uint64, chosen strategy) *fleet {
	return newFleet(seed, chosen, relayCount, backEndCount, slotCount)
}

func isUrgent(o outcome) bool    { return o.level == 0 }
func isServed(o outcome) bool    { return o.isServed }
func isSmall(o outcome) bool     { return o.tenant != largeTenant }
func isAny(outcome) bool         { return true }
func isNotUrgent(o outcome) bool { return !isUrgent(o) }

// 71 relays compete for 18 slots, at 1.1 times what these carry. Each deciding alone, they cannot know that a request
// is more urgent than one of another relay, nor that a back end is full.
func TestManyRelaysBeforeAServiceWithFewSlots(t *testing.T) {
	clients := newClients(78, 0.5*capacity, client{target: 120 * time.Millisecond, deadline: 400 * time.Millisecond})
	clients = append(clients, newClients(78, 0.6*capacity, client{level: 2, target: time.Second, deadline: 2 * time.Second})...)
	for seed := range uint64(3) {
		shared, separate := newServiceFleet(seed, throughQueue), newServiceFleet(seed, alone)
		withQueue, withoutQueue := shared.run(runTime, clients), separate.run(runTime, clients)
		t.Logf("urgent requests in time: %.3f, alone %.3f; others: %.3f, alone %.3f; turned away: %d, alone %d",
			fraction(withQueue, isUrgent, outcome.isInTime), fraction(withoutQueue, isUrgent, outcome.isInTime),
			fraction(withQueue, isNotUrgent, outcome.isInTime), fraction(withoutQueue, isNotUrgent, outcome.isInTime),
			shared.turnedAway, separate.turnedAway)
		require.GreaterOrEqual(t, fraction(withQueue, isUrgent, outcome.isInTime), 0.98)
		require.Less(t, fraction(withoutQueue, isUrgent, outcome.isInTime), 0.9)
		require.Zero(t, shared.turnedAway)
		require.NotZero(t, separate.turnedAway)
	}
}

// A large tenant that sends twice what the slots carry must not take the slots of tenants that use less than their share.
func TestLargeTenantBesideSmallOnes(t *testing.T) {
	like := client{target: 150 * time.Millisecond, deadline: 600 * time.Millisecond}
	clients := newClients(20, 0.4*capacity, like)
	like.tenant, like.perSecond = largeTenant, 2*capacity
	clients = append(clients, like)
	for seed := range uint64(3) {
		fair := newServiceFleet(seed, throughQueue).run(runTime, clients)
		unfair := newServiceFleet(seed, firstComeFirstServed).run(runTime, clients)
		separate := newServiceFleet(seed, alone).run(runTime, clients)
		t.Logf("small tenants in time: %.3f, first come first served %.3f, alone %.3f",
			fraction(fair, isSmall, outcome.isInTime), fraction(unfair, isSmall, outcome.isInTime), fraction(separate, isSmall, outcome.isInTime))
		require.GreaterOrEqual(t, fraction(fair, isSmall, outcome.isInTime), 0.98)
		require.Less(t, fraction(unfair, isSmall, outcome.isInTime), 0.5)
		require.Less(t, fraction(separate, isSmall, outcome.isInTime), 0.5)
	}
}

// At one and a half times what the slots carry, a queue without deadlines serves requests whose clients have given up.
func TestRequestsThatCannotBeServedInTimeUseNoSlot(t *testing.T) {
	clients := newClients(20, 1.5*capacity, client{target: 150 * time.Millisecond, deadline: 300 * time.Millisecond})
	for seed := range uint64(3) {
		refusing := newServiceFleet(seed, throughQueue).run(runTime, clients)
		patient := newServiceFleet(seed, firstComeFirstServed).run(runTime, clients)
		completed := func(o outcome) bool { return o.isServed && !o.endedAfterDeadline() }
		t.Logf("served after the deadline: %.4f, first come first served %.4f; completed of all: %.3f, %.3f",
			fraction(refusing, isServed, outcome.endedAfterDeadline), fraction(patient, isServed, outcome.endedAfterDeadline),
			fraction(refusing, isAny, completed), fraction(patient, isAny, completed))
		require.LessOrEqual(t, fraction(refusing, isServed, outcome.endedAfterDeadline), 0.01)
		require.GreaterOrEqual(t, fraction(refusing, isAny, completed), 0.58)
		require.GreaterOrEqual(t, fraction(patient, isServed, outcome.endedAfterDeadline), 0.9)
	}
}

// Lost reports keep slots in use that are free, until the next report of their relay or the end of their lease. The
// service must go on with most of its slots.
func TestServiceGoesOnWhileReportsAreLost(t *testing.T) {
	clients := newClients(20, 0.5*capacity, client{target: 150 * time.Millisecond, deadline: 600 * time.Millisecond})
	for seed := range uint64(3) {
		lossy := newServiceFleet(seed, throughQueue)
		lossy.reportLoss = 0.05
		outcomes := lossy.run(runTime, clients)
		t.Logf("in time: %.3f; expired leases: %d", fraction(outcomes, isAny, outcome.isInTime), lossy.queue.ExpiredLeases())
		require.GreaterOrEqual(t, fraction(outcomes, isAny, outcome.isInTime), 0.9)
		require.Zero(t, lossy.queue.HeldCount())
	}
}
