package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// Many relays before a service with few slots: all of them get their slots from one owner, so that no back end has more
// requests than slots, and each request is served. Without the owner, relays decide alone and overfill back ends.
func TestRelaysShareFewSlots(t *testing.T) {
	inFleet(t, 12, 3, 2, func(t *testing.T, fleet *testFleet) {
		require.Equal(t, map[Kind]int{Granted: 48}, fleet.serveAtOnce(fleet.relays, 4))
		served, mostInUse := fleet.counts()
		require.Equal(t, 48, served)
		require.Equal(t, 2, mostInUse)
		fleet.waitWithin(reportTime, fleet.noSlotsInUse)
	})
}

// A relay without a list of relays must not wait for anybody: it selects back ends by itself.
func TestWithoutOwnersNobodyIsAsked(t *testing.T) {
	inFleet(t, 1, 1, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[0]
		relay.SetRelays(nil)
		began := relay.now()
		_, outcome := relay.Acquire(relay.request(), nil)
		require.Equal(t, Outcome{Kind: Unavailable}, outcome)
		require.Equal(t, began, relay.now())
	})
}

// A relay that is neither owner nor deputy answers NOT_OWNER at once, so that the asking relay need not wait for the end of
// the time in which an answer is due.
func TestRelayThatOwnsNothingSaysSo(t *testing.T) {
	inFleet(t, 4, 1, 1, func(t *testing.T, fleet *testFleet) {
		stranger, asking := fleet.relays[2], fleet.relays[3]
		asking.SetRelays([]string{stranger.address()})
		began := asking.now()
		_, outcome := asking.Acquire(asking.request(), nil)
		require.Equal(t, Outcome{Kind: Unavailable}, outcome)
		require.Equal(t, 2*networkDelay, asking.now()-began)
		require.Zero(t, stranger.granter.heldCount())
	})
}

// A further attempt at a request excludes all open back ends. Its relay must select a back end by itself after one answer
// of each owner, not when the deadline has passed.
func TestRequestThatExcludesAllBackEndsIsNotQueued(t *testing.T) {
	inFleet(t, 3, 2, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		request := relay.request()
		request.MayHaveRun, request.Excluded = true, []uint64{1, 2}
		began := relay.now()
		_, outcome := relay.Acquire(request, nil)
		require.Equal(t, Outcome{Kind: Unavailable}, outcome)
		require.Equal(t, 4*networkDelay, relay.now()-began)
	})
}

// A client that leaves while its request is queued must free its place in the queue, and no slot may stay in use.
func TestClientThatLeavesFreesItsPlace(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		held, outcome := relay.Acquire(relay.request(), nil)
		require.Equal(t, Granted, outcome.Kind)
		stop, ended := make(chan struct{}), make(chan Outcome)
		go func() {
			_, outcome := relay.Acquire(relay.request(), stop)
			ended <- outcome
		}()
		fleet.waitWithin(repeatInterval, func() bool { return fleet.owner().granter.queuedCount() == 1 })
		close(stop)
		require.Equal(t, Outcome{Kind: Abandoned}, <-ended)
		fleet.waitWithin(2*networkDelay, func() bool { return fleet.owner().granter.queuedCount() == 0 })
		relay.Release(held, slotqueue.Result{ServiceTime: usualTime})
		fleet.waitWithin(reportTime, func() bool { return fleet.owner().granter.heldCount() == 0 })
	})
}

// A request that is queued must end at its deadline even when the owner does not refuse it.
func TestQueuedRequestEndsAtItsDeadline(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		_, outcome := relay.Acquire(relay.request(), nil)
		require.Equal(t, Granted, outcome.Kind)
		request := relay.request()
		request.MayHaveRun = true
		_, outcome = relay.Acquire(request, nil)
		require.NotEqual(t, Granted, outcome.Kind)
		require.LessOrEqual(t, relay.now(), request.DeadlineAt+networkDelay)
		fleet.waitWithin(2*networkDelay, func() bool { return fleet.owner().granter.queuedCount() == 0 })
	})
}

// A release with many slots at once must reach the owner completely, although it does not fit into one datagram.
func TestManyReleasesAtOnce(t *testing.T) {
	inFleet(t, 3, 2, 100, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		var grants []Grant
		for range 120 {
			grant, outcome := relay.Acquire(relay.request(), nil)
			require.Equal(t, Granted, outcome.Kind)
			grants = append(grants, grant)
		}
		time.Sleep(2 * reportInterval)
		require.Equal(t, 120, fleet.owner().granter.heldCount(), "a report that cannot list all slots must not release the others")
		for _, grant := range grants {
			relay.Release(grant, slotqueue.Result{ServiceTime: usualTime})
		}
		fleet.waitWithin(reportTime, fleet.noSlotsInUse)
		fleet.owner().withOwned(func(owned *ownedService) { require.Zero(t, owned.queue.ExpiredLeases()) })
	})
}

// A garbled answer, or one to another incarnation of the relay, must not grant a slot.
func TestAnswerToAnotherIncarnationIsDropped(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		number, answers := relay.queries.Open()
		relay.HandleAnswer(&v1.SlotAnswer{Number: number, Relay: relay.config.Incarnation + 1, Outcome: v1.SlotOutcome_SLOT_OUTCOME_GRANTED})
		relay.HandleAnswer(&v1.SlotAnswer{Number: number + 1, Relay: relay.config.Incarnation, Outcome: v1.SlotOutcome_SLOT_OUTCOME_GRANTED})
		require.Empty(t, answers)
	})
}
