package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSeededCluster starts members that know only the first three addresses, at different
// moments of the first 300 ms.
func newSeededCluster(t *testing.T, size int, seed uint64) *testCluster {
	c := newTestCluster(t, 0, seed)
	c.bootstrap = true
	for i := range size {
		name := fmt.Sprintf("controller-%d", i+1)
		c.names = append(c.names, name)
		c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
	}
	c.seeds = c.names[:3:3]
	order := rand.New(rand.NewPCG(seed, 2)).Perm(size)
	for _, index := range order {
		c.start(c.names[index])
		for range 300 / size {
			c.step()
		}
	}
	return c
}

// wipe starts a member again at its address with an empty disk.
func (c *testCluster) wipe(name, disk string) {
	c.bootstrap = false
	c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/" + disk}}
	c.start(name)
}

// voterIDs returns the voters that the member knows.
func voterIDs(core *Core) []string { return core.members.voters() }

func (c *testCluster) commit(text string) {
	c.t.Helper()
	leader := c.waitLeader()
	index, _, err := leader.Propose(c.now, []byte(text))
	require.NoError(c.t, err)
	c.until("commit of "+text, func() bool { return leader.log.commit >= index })
}

func TestSeededFormation(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d members, seed %d", size, seed), func(t *testing.T) {
				c := newSeededCluster(t, size, seed)
				c.until("all voters", func() bool {
					leader := c.leader()
					return leader != "" && len(voterIDs(c.cores[leader])) == size
				})
				require.Less(t, c.now, 5*time.Second)
				c.commit("first")
			})
		}
	}
}

// A seed that comes late must not leave the others without a quorum for good.
func TestSeededFormationWithLateFirstSeed(t *testing.T) {
	c := newTestCluster(t, 0, 1)
	c.bootstrap = true
	for i := range 5 {
		name := fmt.Sprintf("controller-%d", i+1)
		c.names = append(c.names, name)
		c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
	}
	c.seeds = c.names[:3:3]
	for _, name := range c.names[1:] {
		c.start(name)
	}
	for range 3000 {
		c.step()
	}
	require.Empty(t, c.leader(), "only the first seed may form the quorum")
	c.start(c.names[0])
	c.until("all voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
}

func TestEmptiedFirstSeedFormsNoSecondQuorum(t *testing.T) {
	c := newSeededCluster(t, 5, 3)
	c.commit("kept")
	first := c.names[0]
	c.cores[first] = nil
	c.wipe(first, "second")
	c.cut[first] = true
	for range 5000 {
		c.step()
	}
	require.True(t, c.cores[first].members.empty(), "an emptied first seed must not form a quorum of its own")
	c.cut[first] = false
	c.until("new disk votes", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.votes(first+"/second") && len(voterIDs(c.cores[leader])) == 5
	})
	c.until("state", func() bool { return len(c.applied[first]) > 0 })
}

// The loss that a fleet of five bears: both disks that synced a change besides the leader's
// are emptied while everyone loses power, and both come back as full voters.
func TestTwoEmptiedDisksLoseNothing(t *testing.T) {
	for seed := range uint64(20) {
		c := newSeededCluster(t, 5, seed)
		c.until("all voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
		leader := c.waitLeader()
		index, _, err := leader.Propose(c.now, []byte("acknowledged"))
		require.NoError(t, err)
		c.until("commit", func() bool { return leader.log.commit >= index })
		var synced []string
		for _, name := range c.names {
			if c.cores[name].log.stable >= index {
				synced = append(synced, name)
			}
		}
		require.GreaterOrEqual(t, len(synced), 3)
		for _, name := range c.names {
			c.cores[name] = nil
		}
		c.inbox = nil
		for _, name := range c.names {
			c.start(name)
		}
		for _, name := range synced[:2] {
			c.wipe(name, "second")
		}
		// Names hold back what was applied before the loss: they must agree with it.
		c.until("five voters again", func() bool {
			leader := c.leader()
			return leader != "" && len(voterIDs(c.cores[leader])) == 5 &&
				c.cores[leader].members.votes(synced[0]+"/second") && c.cores[leader].members.votes(synced[1]+"/second")
		})
		require.GreaterOrEqual(t, c.waitLeader().log.commit, index)
	}
}

func TestReplacedControllerLeavesNoDeadVoter(t *testing.T) {
	c := newSeededCluster(t, 5, 4)
	c.commit("kept")
	c.bootstrap = false
	gone := c.names[1]
	c.cores[gone] = nil
	for range 1000 {
		c.step()
	}
	started := c.now
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.until("replacement", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.votes("controller-6/first") &&
			!c.cores[leader].members.votes(gone+"/first") && len(voterIDs(c.cores[leader])) == 5
	})
	require.Less(t, c.now-started, 4*time.Second, "the next loss is borne within the time to catch up")
}

// The new machine comes first and the old one stops afterwards.
func TestPlannedReplacementLeavesAnOddQuorum(t *testing.T) {
	c := newSeededCluster(t, 5, 5)
	c.commit("kept")
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.bootstrap = false
	c.start("controller-6")
	c.until("six voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 6 })
	c.cores[c.names[2]] = nil
	c.until("five voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
	c.commit("after")
}

// A voter that was cut off and removed meanwhile must come back by itself.
func TestRemovedVoterComesBack(t *testing.T) {
	c := newSeededCluster(t, 5, 6)
	c.commit("kept")
	c.bootstrap = false
	away := c.names[3]
	c.cut[away] = true
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.until("removal", func() bool {
		leader := c.leader()
		return leader != "" && !c.cores[leader].members.votes(away+"/first")
	})
	c.cut[away] = false
	c.until("return", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.votes(away+"/first")
	})
}

// Later, an emptied first seed forms no quorum even with enough other members on empty disks.
func TestOnlyTheFirstStartFormsAQuorum(t *testing.T) {
	c := newSeededCluster(t, 5, 7)
	c.commit("kept")
	for _, name := range c.names {
		c.cores[name] = nil
	}
	c.inbox = nil
	c.wipe(c.names[0], "second")
	for _, name := range []string{"controller-6", "controller-7", "controller-8"} {
		c.names = append(c.names, name)
		c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
		c.start(name)
	}
	for range 5000 {
		c.step()
	}
	require.True(t, c.cores[c.names[0]].members.empty(), "the quorum of the first start may still exist")
}

// A voter that is surely gone leaves before its replacement votes: the quorum never grows by a
// dead member.
func TestQuorumDoesNotGrowByADeadVoter(t *testing.T) {
	c := newSeededCluster(t, 5, 8)
	c.commit("kept")
	c.bootstrap = false
	c.cores[c.names[1]] = nil
	for range 4000 {
		c.step()
	}
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.until("replacement", func() bool {
		leader := c.leader()
		if leader == "" {
			return false
		}
		require.LessOrEqual(t, len(voterIDs(c.cores[leader])), 5)
		return c.cores[leader].members.votes("controller-6/first")
	})
}
