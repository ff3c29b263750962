package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A new leader does not send its list to relays that hold the same one.
func TestNewLeaderSendsNoListThatIsHeld(t *testing.T) {
	w := newWorld(t, 3, seeded)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	watch := func(held uint64) *v1.WatchResponse {
		answer := w.call(w.leader(), func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "relay-1", Zone: "z"}, WaitMs: 100, ListingVersion: held}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	held := watch(0).GetListingVersion()
	leader.cut = true
	w.until("another leader", func() bool { next := w.leader(); return next != nil && next != leader })
	w.run(2 * time.Second)
	response := watch(held)
	require.Equal(t, held, response.GetListingVersion())
	require.Empty(t, response.GetPackedListing())
	require.Nil(t, response.GetListingChange())
}

// Relays are told the list of relays once, and again when it is another.
func TestRelaysAreToldOfEachOtherOnce(t *testing.T) {
	w := newWorld(t, 3, seeded)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(relayCountDelay + time.Second)
	watch := func(name string, held uint64) *v1.WatchResponse {
		answer := w.call(leader, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: name}, NoticeAddress: name + ":1", RelayList: held}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	require.Equal(t, []string{"one:1"}, watch("one", 0).GetRelayAddresses())
	told := watch("two", 0)
	require.Equal(t, []string{"one:1", "two:1"}, told.GetRelayAddresses())
	require.Empty(t, watch("two", told.GetRelayList()).GetRelayAddresses())
	require.Len(t, watch("three", told.GetRelayList()).GetRelayAddresses(), 3)

	leader.cut = true
	w.until("another leader", func() bool { next := w.leader(); return next != nil && next != leader })
	leader = w.leader()
	require.Empty(t, watch("two", told.GetRelayList()).GetRelayAddresses(), "a new leader knows few relays yet")
	require.Len(t, watch("two", 0).GetRelayAddresses(), 1)
	w.run(relayCountDelay)
	require.Len(t, watch("two", told.GetRelayList()).GetRelayAddresses(), 1)
}

// The leader looks at the watches that wait only when there is something to tell them, and answers
// each in its time all the same.
func TestWaitingWatchesAreAnsweredInTheirTime(t *testing.T) {
	w := newWorld(t, 3, seeded)
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

// Where no controller is known to lead, relays wait a little in place of asking again and again, and
// hear of a leader at once.
func TestWatchesWaitWhileNoneLeads(t *testing.T) {
	w := newWorld(t, 3, seeded)
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
	require.True(t, answered(lost), "it may ask another controller")
	require.True(t, w.answers[lost].Response.(*v1.WatchResponse).GetBehind())

	waiting := watch()
	follower.cut = false
	w.until("it is told", func() bool { return answered(waiting) })
}
