package leaderwatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A node must find the leader with two requests from any seed, and move on when a seed does not answer.
func TestLeaderIsFoundFromAnySeed(t *testing.T) {
	list := newControllers([]string{"b", "c"})
	require.Equal(t, "b", list.next())
	list.advanceAfterFailure()
	require.Equal(t, "c", list.next())
	list.applyResponse(&v1.WatchResponse{Behind: true, LeaderAddress: "e", ControllerAddresses: []string{"a", "d", "e"}}, "c")
	require.Equal(t, "e", list.next())
	require.Equal(t, []string{"a", "b", "c", "d", "e"}, list.addresses, "seeds must stay beside the received addresses")
	list.applyResponse(&v1.WatchResponse{LeaderAddress: "e"}, "e")
	require.Equal(t, "e", list.next(), "a leader must get the next request too")
}

// While no leader is known, all controllers must be tried in turn, even if one names itself or an unknown
// controller as the leader.
func TestControllersAreTriedInTurnWithoutLeader(t *testing.T) {
	list := newControllers([]string{"a", "b", "c"})
	var tried []string
	for _, leader := range []string{"", "b", "stranger", ""} {
		next := list.next()
		tried = append(tried, next)
		list.applyResponse(&v1.WatchResponse{Behind: true, LeaderAddress: leader}, next)
	}
	require.Equal(t, []string{"a", "b", "c", "a"}, tried)
}

// Seeds from updated settings must be tried once the other controllers fail.
func TestUpdatedSeedsAreTried(t *testing.T) {
	list := newControllers([]string{"old"})
	seeds := []string{"new"}
	list.seeds.Store(&seeds)
	list.advanceAfterFailure()
	require.Contains(t, list.addresses, "new")
}

// The leader must answer about the same number of watches per second for any number of nodes.
func TestWatchWaitGrowsWithNodes(t *testing.T) {
	for nodes, wait := range map[int]string{0: "400ms", 7: "400ms", 120: "400ms", 240: "800ms", 300: "1s", 5000: "1s"} {
		require.Equal(t, wait, WaitFor(nodes).String())
	}
}
