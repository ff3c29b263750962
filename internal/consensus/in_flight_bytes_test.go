package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that sends large entries without end to a member that does not acknowledge them: the messages wait
// in the queue of that member, 256 of them for each member that was away.
func TestLeaderBoundsTheBytesInFlightToAMember(t *testing.T) {
	cluster := newTestCluster(t, 3, 4)
	for _, name := range cluster.names {
		cluster.start(name)
	}
	leader := cluster.waitLeader()
	victim := cluster.names[0]
	if cluster.leader() == victim {
		victim = cluster.names[1]
	}
	cluster.isolated[victim] = true
	const entries, entryBytes = 60, 256 << 10
	for range entries {
		_, _, err := leader.Propose(cluster.now, make([]byte, entryBytes))
		require.NoError(t, err)
		last := leader.log.last().index
		cluster.stepUntil("commit", func() bool { return leader.log.applied >= last })
	}
	progress := leader.progress[cluster.cores[victim].id]
	inFlight := dataBytes(leader.log.entriesBetween(progress.match, progress.next-1))
	require.LessOrEqual(t, inFlight, DefaultMaximumInFlightBytes+DefaultMaximumAppendBytes)
	cluster.isolated[victim] = false
	cluster.stepUntil("catching up", func() bool { return cluster.cores[victim].log.applied >= leader.log.applied })
}
