package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSeededCluster starts members that know only the first three addresses, spread over the first
// 300 ms.
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

// wipe restarts a member at its address with an empty disk.
func (c *testCluster) wipe(name, disk string) {
	c.bootstrap = false
	c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/" + disk}}
	c.start(name)
}

// voterIDs returns the voters in the member's effective membership.
func voterIDs(core *Core) []string { return core.members.voters() }

func (c *testCluster) commitCommand(text string) {
	c.t.Helper()
	leader := c.waitLeader()
	index, _, err := leader.Propose(c.now, []byte(text))
	require.NoError(c.t, err)
	c.stepUntil("commit of "+text, func() bool { return leader.log.commit >= index })
}

func TestSeededFormation(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d members, seed %d", size, seed), func(t *testing.T) {
				c := newSeededCluster(t, size, seed)
				c.stepUntil("all voters", func() bool {
					leader := c.leader()
					return leader != "" && len(voterIDs(c.cores[leader])) == size
				})
				require.Less(t, c.now, 5*time.Second)
				c.commitCommand("first")
			})
		}
	}
}

// A first seed that starts late must not leave the others without a quorum forever.
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
	c.stepUntil("all voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
}

func TestEmptiedFirstSeedFormsNoSecondQuorum(t *testing.T) {
	c := newSeededCluster(t, 5, 3)
	c.commitCommand("kept")
	first := c.names[0]
	c.cores[first] = nil
	c.wipe(first, "second")
	c.isolated[first] = true
	for range 5000 {
		c.step()
	}
	require.True(t, c.cores[first].members.empty(), "an emptied first seed must not form a second quorum")
	c.isolated[first] = false
	c.stepUntil("new disk votes", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.isVoter(first+"/second") && len(voterIDs(c.cores[leader])) == 5
	})
	c.stepUntil("state", func() bool { return len(c.applied[first]) > 0 })
}

// A quorum of five tolerates two emptied disks: two of the disks that synced a command are emptied
// while all members lose power, and both members must return as voters without losing the command.
func TestTwoEmptiedDisksLoseNothing(t *testing.T) {
	for seed := range uint64(20) {
		c := newSeededCluster(t, 5, seed)
		c.stepUntil("all voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
		leader := c.waitLeader()
		index, _, err := leader.Propose(c.now, []byte("acknowledged"))
		require.NoError(t, err)
		c.stepUntil("commit", func() bool { return leader.log.commit >= index })
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
		// The committed field still holds the entries from before the loss, and apply compares with them.
		c.stepUntil("five voters again", func() bool {
			leader := c.leader()
			return leader != "" && len(voterIDs(c.cores[leader])) == 5 &&
				c.cores[leader].members.isVoter(synced[0]+"/second") && c.cores[leader].members.isVoter(synced[1]+"/second")
		})
		require.GreaterOrEqual(t, c.waitLeader().log.commit, index)
	}
}

func TestReplacedControllerLeavesNoDeadVoter(t *testing.T) {
	c := newSeededCluster(t, 5, 4)
	c.commitCommand("kept")
	c.bootstrap = false
	replaced := c.names[1]
	c.cores[replaced] = nil
	for range 1000 {
		c.step()
	}
	started := c.now
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.stepUntil("replacement", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.isVoter("controller-6/first") &&
			!c.cores[leader].members.isVoter(replaced+"/first") && len(voterIDs(c.cores[leader])) == 5
	})
	require.Less(t, c.now-started, 4*time.Second, "the quorum must tolerate the next loss once the new member has caught up")
}

// The new controller joins before the old one stops.
func TestPlannedReplacementLeavesAnOddQuorum(t *testing.T) {
	c := newSeededCluster(t, 5, 5)
	c.commitCommand("kept")
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.bootstrap = false
	c.start("controller-6")
	c.stepUntil("six voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 6 })
	c.cores[c.names[2]] = nil
	c.stepUntil("five voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
	c.commitCommand("after")
}

// A voter that was removed while it was isolated must rejoin by itself.
func TestRemovedVoterRejoins(t *testing.T) {
	c := newSeededCluster(t, 5, 6)
	c.commitCommand("kept")
	c.bootstrap = false
	away := c.names[3]
	c.isolated[away] = true
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.stepUntil("removal", func() bool {
		leader := c.leader()
		return leader != "" && !c.cores[leader].members.isVoter(away+"/first")
	})
	c.isolated[away] = false
	c.stepUntil("return", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.isVoter(away+"/first")
	})
}

// After the first start, an emptied first seed forms no quorum, even with enough other members on
// empty disks.
func TestQuorumFormsOnlyOnFirstStart(t *testing.T) {
	c := newSeededCluster(t, 5, 7)
	c.commitCommand("kept")
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

// A dead voter is removed before its replacement becomes a voter, so that the quorum never grows by
// a dead member.
func TestQuorumDoesNotGrowByADeadVoter(t *testing.T) {
	c := newSeededCluster(t, 5, 8)
	c.commitCommand("kept")
	c.bootstrap = false
	c.cores[c.names[1]] = nil
	for range 4000 {
		c.step()
	}
	c.names = append(c.names, "controller-6")
	c.disks["controller-6"] = &testDisk{restored: Restored{DiskID: "controller-6/first"}}
	c.start("controller-6")
	c.stepUntil("replacement", func() bool {
		leader := c.leader()
		if leader == "" {
			return false
		}
		require.LessOrEqual(t, len(voterIDs(c.cores[leader])), 5)
		return c.cores[leader].members.isVoter("controller-6/first")
	})
}
