package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// restartAll stops all members at once and starts them again one after the other, with pauses of at most apart.
func (c *testCluster) restartAll(apart time.Duration) {
	for _, name := range c.names {
		delete(c.cores, name)
	}
	c.inbox = nil
	for _, name := range c.names {
		for range c.random.Int64N(int64(apart/time.Millisecond) + 1) {
			c.step()
		}
		c.start(name)
	}
}

// A quorum whose members have all restarted must elect a leader without waiting for a lease,
// because none of them can hold one.
func TestFullRestartElectsWithoutLeaseWait(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(20) {
			cluster := newTestCluster(t, size, seed)
			cluster.waitLeader()
			cluster.restartAll(10 * time.Millisecond)
			restarted := cluster.now
			cluster.waitLeader()
			require.Less(t, cluster.now-restarted, DefaultElectionTimeout/2, "%d members, seed %d", size, seed)
		}
	}
}

// Members that start at the same moment and tick in step must not split their votes for long, even
// with lost messages and slow disks.
func TestRestartInStepElectsSoon(t *testing.T) {
	slow := 0
	for seed := range uint64(60) {
		cluster := newTestCluster(t, 5, seed)
		cluster.waitLeader()
		cluster.lossRate, cluster.syncDelay = 0.02, true
		cluster.restartAll(0)
		restarted := cluster.now
		cluster.waitLeader()
		require.Less(t, cluster.now-restarted, 4*DefaultElectionTimeout, "seed %d", seed)
		if cluster.now-restarted > DefaultElectionTimeout {
			slow++
		}
	}
	require.Less(t, slow, 6, "number of restarts that took longer than the election timeout")
}

// A member whose log is behind must yield the election to one whose log is ahead, although its own
// identity is smaller.
func TestRestartWithOneLogBehind(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newTestCluster(t, 3, seed)
		cluster.waitLeader()
		cluster.isolated[cluster.names[0]] = true
		leader := cluster.waitLeaderExcept(cluster.names[0])
		for range 5 {
			_, _, err := leader.Propose(cluster.now, []byte("x"))
			require.NoError(t, err)
			cluster.step()
		}
		committed := leader.log.last().index
		cluster.stepUntil("commit", func() bool { return leader.log.commit >= committed })
		clear(cluster.isolated)
		cluster.restartAll(0)
		restarted := cluster.now
		leader = cluster.waitLeader()
		require.Less(t, cluster.now-restarted, DefaultElectionTimeout, "seed %d", seed)
		require.NotEqual(t, cluster.cores[cluster.names[0]], leader)
	}
}

// waitLeaderExcept waits until a member other than the named one holds a lease.
func (c *testCluster) waitLeaderExcept(name string) *Core {
	c.stepUntil("leader beside "+name, func() bool { return c.leader() != "" && c.leader() != name })
	return c.cores[c.leader()]
}

// A voter that has not restarted may be the leader, so the others must wait for its lease to end.
func TestQuorumWithoutAVoterWaitsForItsLease(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newTestCluster(t, 3, seed)
		cluster.waitLeader()
		missing := cluster.leader()
		cluster.restartAll(10 * time.Millisecond)
		delete(cluster.cores, missing)
		restarted := cluster.now
		cluster.waitLeader()
		require.GreaterOrEqual(t, cluster.now-restarted, DefaultElectionTimeout*9/10, "seed %d", seed)
	}
}

// maximumConcurrentLeases restarts all members except the leader, which is isolated from them, and
// returns the maximum number of leases that were valid at the same time.
func maximumConcurrentLeases(t *testing.T, seed uint64, off ...safeguard.Safeguard) int {
	cluster := newTestCluster(t, 3, seed)
	cluster.disabledSafeguards = safeguard.Without(off...)
	cluster.restartAll(0)
	cluster.waitLeader()
	leader := cluster.leader()
	cluster.isolated[leader] = true
	cluster.inbox = nil // the leader's last messages are lost
	for _, name := range cluster.names {
		if name != leader {
			cluster.start(name)
		}
	}
	maximum := 0
	for range 3 * int(DefaultElectionTimeout/time.Millisecond) {
		cluster.step()
		leases := 0
		for _, name := range cluster.names {
			if cluster.cores[name].HasValidLease(cluster.now) {
				leases++
			}
		}
		maximum = max(maximum, leases)
	}
	return maximum
}

// When all members but the leader restart, the leader's lease must stay the only one.
func TestRestartOfFollowersKeepsSingleLease(t *testing.T) {
	extraLeases := 0
	for seed := range uint64(20) {
		require.Equal(t, 1, maximumConcurrentLeases(t, seed), "seed %d", seed)
		extraLeases += maximumConcurrentLeases(t, seed, SafeguardAllRestarted) - 1
	}
	require.Positive(t, extraLeases, "without the safeguard two leases must be valid at once")
}

// Random restarts, lost messages and slow disks must never lead to two valid leases.
func TestRestartsUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		cluster := newTestCluster(t, 5, seed)
		cluster.lossRate, cluster.syncDelay = 0.05, true
		for range 10_000 {
			cluster.step()
			name := cluster.names[cluster.random.IntN(5)]
			switch cluster.random.IntN(1500) {
			case 0, 1, 2:
				cluster.start(name)
			case 3:
				cluster.restartAll(30 * time.Millisecond)
			case 4:
				cluster.isolated[name] = true
			case 5, 6, 7:
				cluster.isolated[name] = false
			}
			leases := 0
			for _, member := range cluster.names {
				if cluster.cores[member].HasValidLease(cluster.now) {
					leases++
				}
			}
			require.LessOrEqual(t, leases, 1, "seed %d at %v", seed, cluster.now)
		}
	}
}

// Contact with a leader ends the restart phase, in which a vote may skip the wait for a lease.
func TestLeaderContactEndsRestartPhase(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	leader := cluster.waitLeader()
	for _, name := range cluster.names {
		core := cluster.cores[name]
		if core == leader {
			continue
		}
		require.False(t, core.restart.noLeaderSinceStart)
	}
	require.False(t, leader.restart.noLeaderSinceStart)
}
