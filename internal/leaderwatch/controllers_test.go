package leaderwatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A node finds the leader in two questions from any seed, and goes on where one does not answer.
func TestLeaderIsFoundFromAnySeed(t *testing.T) {
	known := newControllers([]string{"b", "c"})
	require.Equal(t, "b", known.next())
	known.failed()
	require.Equal(t, "c", known.next())
	known.learn(&v1.WatchResponse{Behind: true, LeaderAddress: "e", ControllerAddresses: []string{"a", "d", "e"}}, "c")
	require.Equal(t, "e", known.next())
	require.Equal(t, []string{"a", "b", "c", "d", "e"}, known.known, "seeds are kept beside what is told")
	known.learn(&v1.WatchResponse{LeaderAddress: "e"}, "e")
	require.Equal(t, "e", known.next(), "one that leads is asked again")
}

// Each controller is asked in turn while none knows a leader, also where one names itself or a stranger.
func TestEachControllerIsAskedWhileNoneLeads(t *testing.T) {
	known := newControllers([]string{"a", "b", "c"})
	var asked []string
	for _, leader := range []string{"", "b", "stranger", ""} {
		next := known.next()
		asked = append(asked, next)
		known.learn(&v1.WatchResponse{Behind: true, LeaderAddress: leader}, next)
	}
	require.Equal(t, []string{"a", "b", "c", "a"}, asked)
}

// Seeds that the settings name anew are asked once the others fail.
func TestNewSeedsAreAsked(t *testing.T) {
	known := newControllers([]string{"old"})
	seeds := []string{"new"}
	known.seeds.Store(&seeds)
	known.failed()
	require.Contains(t, known.known, "new")
}

// However many nodes there are, the leader answers about as many watches a second.
func TestWatchesSlowDownAsNodesGrow(t *testing.T) {
	for nodes, wait := range map[int]string{0: "400ms", 7: "400ms", 120: "400ms", 240: "800ms", 300: "1s", 5000: "1s"} {
		require.Equal(t, wait, WaitFor(nodes).String())
	}
}
