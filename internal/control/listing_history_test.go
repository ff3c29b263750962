package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func listedBackEnds(count int) []*v1.ListedBackEnd {
	list := make([]*v1.ListedBackEnd, count)
	for index := range list {
		list[index] = &v1.ListedBackEnd{Id: fmt.Sprintf("i-%03d", index), Service: "service", Address: "10.0.0.1:80", Slots: 4}
	}
	return list
}

// A relay that holds a kept version is told what has changed, any other one the whole list. Both are
// made once.
func TestListingIsToldByWhatHasChanged(t *testing.T) {
	history := listingHistory{}
	first := listedBackEnds(200)
	history.add(1, first)
	second := append(listedBackEnds(200)[1:], &v1.ListedBackEnd{Id: "new"})
	second[0].Leaving = true
	history.add(2, second)

	told, again := &v1.WatchResponse{}, &v1.WatchResponse{}
	history.tell(told, 1)
	history.tell(again, 1)
	change := told.GetListingChange()
	require.Same(t, change, again.GetListingChange())
	require.Equal(t, uint64(1), change.GetFromVersion())
	require.Equal(t, []string{"i-000"}, change.GetGone())
	require.Len(t, change.GetChanged(), 2)
	require.Empty(t, told.GetPackedListing())

	stranger := &v1.WatchResponse{}
	history.tell(stranger, 99)
	require.Nil(t, stranger.GetListingChange())
	require.Len(t, wholeListing(t, stranger), 200)

	for version := range uint64(keptListings) {
		history.add(10+version, first)
	}
	late := &v1.WatchResponse{}
	history.tell(late, 1)
	require.Len(t, wholeListing(t, late), 200, "an old version is forgotten")
	require.Len(t, history.lists, keptListings)
}

// The same list has the same version, whoever leads and however long cold back ends still need.
func TestVersionOfAListing(t *testing.T) {
	one, other := listedBackEnds(5), listedBackEnds(5)
	one[2].ColdMs, other[2].ColdMs = 900, 400
	require.Equal(t, versionOf(one), versionOf(other))
	other[2].ColdMs = 0
	require.NotEqual(t, versionOf(one), versionOf(other))
	require.NotZero(t, versionOf(nil))
}

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
	w.run(relayCountAfter + time.Second)
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
	w.run(relayCountAfter)
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
