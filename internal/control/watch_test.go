package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A new leader does not send its list to relays that already hold it.
func TestNewLeaderDoesNotResendAnUnchangedList(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	watch := func(version uint64) *v1.WatchResponse {
		answer := w.call(w.leader(), func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay-1", Zone: "z"}, WaitMs: 100, ListingVersion: version}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	version := watch(0).GetListingVersion()
	leader.cut = true
	w.until("another leader", func() bool { next := w.leader(); return next != nil && next != leader })
	w.run(2 * time.Second)
	response := watch(version)
	require.Equal(t, version, response.GetListingVersion())
	require.Empty(t, response.GetPackedListing())
	require.Nil(t, response.GetListingChange())
}

// Relays get the list of relays once, and again when it has changed.
func TestRelayListIsSentOnce(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(relayCountDelay + time.Second)
	watch := func(name string, version uint64) *v1.WatchResponse {
		answer := w.call(leader, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: name}, NoticeAddress: name + ":1", RelayList: version}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	require.Equal(t, []string{"one:1"}, watch("one", 0).GetRelayAddresses())
	response := watch("two", 0)
	require.Equal(t, []string{"one:1", "two:1"}, response.GetRelayAddresses())
	require.Empty(t, watch("two", response.GetRelayList()).GetRelayAddresses())
	require.Len(t, watch("three", response.GetRelayList()).GetRelayAddresses(), 3)

	leader.cut = true
	w.until("another leader", func() bool { next := w.leader(); return next != nil && next != leader })
	leader = w.leader()
	require.Empty(t, watch("two", response.GetRelayList()).GetRelayAddresses(), "a new leader knows few relays yet")
	require.Len(t, watch("two", 0).GetRelayAddresses(), 1)
	w.run(relayCountDelay)
	require.Len(t, watch("two", response.GetRelayList()).GetRelayAddresses(), 1)
}

// The leader examines waiting watches only when there is an update for them, and still answers each of them when it
// is due.
func TestWaitingWatchesAreAnsweredInTheirTime(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	version := leader.core.listing.version
	var calls []CallID
	for index := range 10 {
		calls = append(calls, w.send(leader, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{
				Node: &v1.NodeIdentity{Name: fmt.Sprint("relay-", index)}, WaitMs: uint32(2000 - 100*index), ListingVersion: version,
			}}
		}))
	}
	w.run(1370 * time.Millisecond)
	answered := func() (count int) {
		for _, call := range calls {
			if _, is := w.answers[call]; is {
				count++
			}
		}
		return count
	}
	require.Equal(t, 3, answered())
	w.run(time.Second)
	require.Equal(t, 10, answered())
}

// Where no leader is known, watches wait a short time, so that relays do not repeat them all the time. They are
// answered at once when a leader becomes known.
func TestWatchesWaitWhileNoLeaderIsKnown(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	var follower *testController
	for _, name := range w.names {
		if other := w.controllers[name]; other != leader {
			follower = other
		}
	}
	watch := func() CallID {
		return w.send(follower, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay"}, WaitMs: 5000}}
		})
	}
	answered := func(call CallID) bool { _, is := w.answers[call]; return is }
	require.True(t, answered(watch()), "the leader is known")

	leader.cut = true
	follower.cut = true
	w.until("no leader is known", func() bool { return follower.core.Consensus().LeaderAddress == "" })
	lost := watch()
	require.False(t, answered(lost))
	w.run(leaderlessWait + 2*TickInterval)
	require.True(t, answered(lost), "the relay may now try another controller")
	require.True(t, w.answers[lost].Response.(*v1.WatchResponse).GetBehind())

	waiting := watch()
	follower.cut = false
	w.until("an answer", func() bool { return answered(waiting) })
}
