package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// restartAll stops every member at once; all start again a little apart.
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

// A quorum that was stopped as a whole elects without waiting for a lease that nobody can hold.
func TestWholeQuorumThatRestartsElectsAtOnce(t *testing.T) {
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

// Members that start at the same moment and tick in step do not split their votes for long,
// whatever the disks and the network do.
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
	require.Less(t, slow, 6, "restarts that took longer than the election timeout")
}

// A member whose log is behind leaves the election to one whose log is ahead, although its
// identity is smaller.
func TestRestartWithOneLogBehind(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newTestCluster(t, 3, seed)
		cluster.waitLeader()
		cluster.cut[cluster.names[0]] = true
		leader := cluster.waitLeaderBut(cluster.names[0])
		for range 5 {
			_, _, err := leader.Propose(cluster.now, []byte("x"))
			require.NoError(t, err)
			cluster.step()
		}
		committed := leader.log.last().index
		cluster.until("commit", func() bool { return leader.log.commit >= committed })
		clear(cluster.cut)
		cluster.restartAll(0)
		restarted := cluster.now
		leader = cluster.waitLeader()
		require.Less(t, cluster.now-restarted, DefaultElectionTimeout, "seed %d", seed)
		require.NotEqual(t, cluster.cores[cluster.names[0]], leader)
	}
}

// waitLeaderBut waits until another member than the named one holds the only lease.
func (c *testCluster) waitLeaderBut(name string) *Core {
	c.until("leader beside "+name, func() bool { return c.leader() != "" && c.leader() != name })
	return c.cores[c.leader()]
}

// While one voter is missing it may lead; the others then wait for its lease to end.
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

// mostLeases lets all but the leader restart beside it, cut off from it, and returns the most
// leases that were valid at once.
func mostLeases(t *testing.T, seed uint64, off ...safeguard.Safeguard) int {
	cluster := newTestCluster(t, 3, seed)
	cluster.off = safeguard.Without(off...)
	cluster.restartAll(0)
	cluster.waitLeader()
	leader := cluster.leader()
	cluster.cut[leader] = true
	cluster.inbox = nil // its last messages are lost
	for _, name := range cluster.names {
		if name != leader {
			cluster.start(name)
		}
	}
	most := 0
	for range 3 * int(DefaultElectionTimeout/time.Millisecond) {
		cluster.step()
		leases := 0
		for _, name := range cluster.names {
			if cluster.cores[name].HasValidLease(cluster.now) {
				leases++
			}
		}
		most = max(most, leases)
	}
	return most
}

// A leader that goes on while all others restart keeps its lease to itself.
func TestRestartOfAllOthersEndsNoLease(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		require.Equal(t, 1, mostLeases(t, seed), "seed %d", seed)
		found += mostLeases(t, seed, SafeguardAllRestarted) - 1
	}
	require.Positive(t, found, "without the safeguard two leases must be seen")
}

// Members that restart again and again, with messages lost and disks slow, never see two leases.
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
				cluster.cut[name] = true
			case 5, 6, 7:
				cluster.cut[name] = false
			}
			leases := 0
			for _, each := range cluster.names {
				if cluster.cores[each].HasValidLease(cluster.now) {
					leases++
				}
			}
			require.LessOrEqual(t, leases, 1, "seed %d at %v", seed, cluster.now)
		}
	}
}

// A voter that has heard a leader does not vote early, whoever the vote names.
func TestVoterThatHeardALeaderWaits(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	leader := cluster.waitLeader()
	for _, name := range cluster.names {
		core := cluster.cores[name]
		if core == leader {
			continue
		}
		require.False(t, core.restart.recent)
	}
	require.False(t, leader.restart.recent)
}
