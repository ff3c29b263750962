package slots

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// isReport reports whether a datagram is a report of held slots.
func isReport(content []byte) bool {
	received := &v1.RelayDatagram{}
	return proto.Unmarshal(content, received) == nil && received.GetSlotReport() != nil
}

// The owner dies while requests are queued there: their repetitions must bring them to the deputy, so that all are served
// without more than twice the slots in use at a back end.
func TestQueuedRequestsReachTheDeputyWhenTheOwnerDies(t *testing.T) {
	inFleet(t, 8, 2, 2, func(t *testing.T, fleet *testFleet) {
		others := fleet.relays[1:]
		outcomes := make(chan map[Kind]int)
		go func() { outcomes <- fleet.serveAtOnce(others, 6) }()
		fleet.waitWithin(reportInterval, func() bool { return fleet.owner().granter.queuedCount() > 0 })
		fleet.owner().kill()
		got := <-outcomes
		require.Equal(t, 42, got[Granted]+got[Refused], "neither may be unavailable, since the deputy answers: %v", got)
		fleet.deputy().withOwned(func(owned *ownedService) { require.True(t, owned.isAsked) })
		_, mostInUse := fleet.counts()
		require.LessOrEqual(t, mostInUse, 4)
		fleet.waitWithin(reportTime, func() bool { return fleet.deputy().granter.heldCount() == 0 })
	})
}

// When neither the owner nor its deputy is alive, relays must select by themselves after two unanswered requests.
func TestWithoutOwnerAndDeputyRelaysDecideThemselves(t *testing.T) {
	inFleet(t, 4, 1, 1, func(t *testing.T, fleet *testFleet) {
		fleet.owner().kill()
		fleet.deputy().kill()
		relay := fleet.relays[2]
		for range 3 {
			_, outcome := relay.Acquire(relay.request(), nil)
			require.Equal(t, Unavailable, outcome.Kind)
		}
		began := relay.now()
		_, outcome := relay.Acquire(relay.request(), nil)
		require.Equal(t, Unavailable, outcome.Kind)
		require.Equal(t, began, relay.now(), "owners known to be silent are not waited for")
	})
}

// The owner is paused and wakes up. Meanwhile the deputy grants; the owner's late answers must grant nothing, and both
// must know in the end that no slot is in use.
func TestOwnerIsPausedAndWakesUp(t *testing.T) {
	inFleet(t, 8, 2, 2, func(t *testing.T, fleet *testFleet) {
		others := fleet.relays[2:]
		for range 3 {
			fleet.network.pause(fleet.owner().address())
			got := fleet.serveAtOnce(others, 4)
			require.Equal(t, 24, got[Granted]+got[Refused], got)
			fleet.network.resume(fleet.owner().address())
			got = fleet.serveAtOnce(others, 4)
			require.Equal(t, 24, got[Granted]+got[Refused], got)
			_, mostInUse := fleet.counts()
			require.LessOrEqual(t, mostInUse, 4)
		}
		fleet.waitWithin(reportTime, fleet.noSlotsInUse)
		time.Sleep(10 * time.Second) // the relays ask the owner again
		require.Equal(t, map[Kind]int{Granted: 12}, fleet.serveAtOnce(others, 2))
	})
}

// The owner is cut off from half of the relays, which use the deputy: all are served, and once the cut is over, no slot
// stays in use at either.
func TestOwnerIsCutOffFromHalfOfTheRelays(t *testing.T) {
	inFleet(t, 10, 2, 2, func(t *testing.T, fleet *testFleet) {
		owner := fleet.owner().address()
		var cut []string
		for _, relay := range fleet.relays[1:6] {
			cut = append(cut, relay.address())
		}
		fleet.network.lose(func(from, to string, _ []byte) bool {
			return from == owner && slices.Contains(cut, to) || to == owner && slices.Contains(cut, from)
		})
		got := fleet.serveAtOnce(fleet.relays, 4)
		require.Equal(t, 40, got[Granted]+got[Refused], got)
		require.Greater(t, got[Granted], 20)
		_, mostInUse := fleet.counts()
		require.LessOrEqual(t, mostInUse, 4, "owner and deputy each count their own grants and the reports that arrive")
		fleet.network.lose(nil)
		fleet.waitWithin(reportTime, fleet.noSlotsInUse)
	})
}

// The report of a release is lost. The slot must be free after one of the next reports, long before its lease ends.
func TestLostReportIsRepairedByTheNext(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, fleet *testFleet) {
		relay := fleet.relays[2]
		grant, outcome := relay.Acquire(relay.request(), nil)
		require.Equal(t, Granted, outcome.Kind)
		fleet.network.lose(func(_, _ string, content []byte) bool { return isReport(content) })
		relay.Release(grant, slotqueue.Result{ServiceTime: usualTime})
		time.Sleep(2 * batchDelay)
		fleet.network.lose(nil)
		time.Sleep(reportInterval + networkDelay)
		require.Zero(t, fleet.owner().granter.heldCount())
		require.Zero(t, fleet.deputy().granter.heldCount())
	})
}

// A relay whose reports are all lost loses its slots, so that other relays get them; it is served again as soon as its
// reports arrive.
func TestRelayLosesAllItsReports(t *testing.T) {
	inFleet(t, 4, 1, 2, func(t *testing.T, fleet *testFleet) {
		relay, other := fleet.relays[2], fleet.relays[3]
		fleet.network.lose(func(from, _ string, content []byte) bool { return from == relay.address() && isReport(content) })
		for range 2 {
			request := relay.request()
			request.DeadlineAt += time.Minute
			_, outcome := relay.Acquire(request, nil)
			require.Equal(t, Granted, outcome.Kind)
		}
		fleet.waitWithin(2*time.Second+reportInterval, func() bool { return fleet.owner().granter.heldCount() == 0 })
		require.Equal(t, map[Kind]int{Granted: 2}, fleet.serveAtOnce([]*testRelay{other}, 2))
		fleet.network.lose(nil)
		fleet.waitWithin(reportInterval+reportTime, func() bool { return fleet.owner().granter.heldCount() == 2 })
	})
}

// A relay dies while it holds slots: they must become free although nobody releases them.
func TestLeaseOutlivesItsHolder(t *testing.T) {
	inFleet(t, 4, 1, 2, func(t *testing.T, fleet *testFleet) {
		relay, other := fleet.relays[2], fleet.relays[3]
		for range 2 {
			_, outcome := relay.Acquire(relay.request(), nil)
			require.Equal(t, Granted, outcome.Kind)
		}
		relay.kill()
		request := other.request()
		request.TargetAt, request.DeadlineAt = request.TargetAt+20*time.Second, request.DeadlineAt+20*time.Second
		require.Equal(t, Granted, fleet.serve(other, request).Kind)
		fleet.waitWithin(reportTime, fleet.noSlotsInUse)
	})
}

// A relay of an earlier build drops the messages on slots. When a stale list names it as owner, the deputy must be asked.
func TestSilentOwnerOfAFormerBuild(t *testing.T) {
	inFleet(t, 4, 1, 2, func(t *testing.T, fleet *testFleet) {
		fleet.network.connect("10.9.9.9:7380")
		asking := fleet.relays[3]
		asking.SetRelays([]string{"10.9.9.9:7380", fleet.owner().address()})
		require.Equal(t, Granted, fleet.serve(asking, asking.request()).Kind)
	})
}

// The list of relays changes while slots are in use: the new owner gets the reports of all holders, so that it never
// grants a slot that is in use.
func TestNewOwnerLearnsTheSlotsInUse(t *testing.T) {
	inFleet(t, 6, 2, 2, func(t *testing.T, fleet *testFleet) {
		holder := fleet.relays[4]
		var grants []Grant
		for range 2 {
			request := holder.request()
			request.DeadlineAt += time.Minute
			grant, outcome := holder.Acquire(request, nil)
			require.Equal(t, Granted, outcome.Kind)
			grants = append(grants, grant)
		}
		var remaining []string
		for _, relay := range fleet.relays[2:] {
			remaining = append(remaining, relay.address())
		}
		slices.Sort(remaining)
		for _, relay := range fleet.relays {
			relay.SetRelays(remaining)
		}
		require.False(t, fleet.owner().ownsSlots(), "the former owner grants nothing any more")
		newOwner := fleet.relays[slices.IndexFunc(fleet.relays, func(relay *testRelay) bool { return relay.address() == holder.OwnersOf(service)[0] })]
		fleet.waitWithin(reportTime, func() bool { return newOwner.granter.heldCount() == 2 })
		time.Sleep(time.Second)
		require.Equal(t, 2, newOwner.granter.heldCount())
		for _, grant := range grants {
			holder.Release(grant, slotqueue.Result{ServiceTime: usualTime})
		}
		fleet.waitWithin(reportTime, func() bool { return newOwner.granter.heldCount() == 0 })
	})
}

// A back end leaves the list of the owner while requests are queued: no further slot of it may be granted.
func TestBackEndThatLeavesIsNotGranted(t *testing.T) {
	inFleet(t, 4, 2, 1, func(t *testing.T, fleet *testFleet) {
		fleet.mutex.Lock()
		fleet.backEnds[0].Closed = true
		fleet.mutex.Unlock()
		time.Sleep(reportInterval)
		for range 5 {
			relay := fleet.relays[2]
			grant, outcome := relay.Acquire(relay.request(), nil)
			require.Equal(t, Granted, outcome.Kind)
			require.Equal(t, fleet.listed()[1].Hash, grant.BackEnd)
			relay.Release(grant, slotqueue.Result{ServiceTime: usualTime})
			time.Sleep(10 * time.Millisecond)
		}
	})
}
