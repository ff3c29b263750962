package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newToleratingCluster starts a seeded cluster that is to survive the loss of two of five members, and waits for all voters.
func newToleratingCluster(t *testing.T, seed uint64) *testCluster {
	c := newSeededCluster(t, 5, seed)
	for _, name := range c.names {
		c.cores[name].config.FormationSize = 5
	}
	c.formationSize = 5
	c.stepUntil("five voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 5 })
	c.bootstrap = false
	return c
}

// join starts a member on an empty disk.
func (c *testCluster) join(name string) {
	c.names = append(c.names, name)
	c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
	c.start(name)
}

// stepFor runs steps for a time.
func (c *testCluster) stepFor(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.step()
	}
}

// Guards against voters that are gone for good and stay voters because their number is odd: two replaced members of five
// left seven voters, of which the loss of two disks left no quorum.
func TestReplacedVotersDoNotCountForEver(t *testing.T) {
	c := newToleratingCluster(t, 1)
	for _, name := range []string{"controller-6", "controller-7"} {
		c.join(name)
		c.stepFor(time.Second)
	}
	require.Len(t, voterIDs(c.waitLeader()), 7)
	c.cores["controller-4"], c.cores["controller-5"] = nil, nil
	c.stepFor(8 * time.Second)
	c.commitCommand("acknowledged")
	running := []string{"controller-1", "controller-2", "controller-3", "controller-6", "controller-7"}
	c.inbox = nil
	for _, name := range running {
		c.start(name)
	}
	c.wipe("controller-1", "second")
	c.wipe("controller-6", "second")
	c.stepUntil("five voters", func() bool {
		leader := c.leader()
		return leader != "" && len(voterIDs(c.cores[leader])) == 5 && c.cores[leader].members.isVoter("controller-1/second") && c.cores[leader].members.isVoter("controller-6/second")
	})
	require.Contains(t, c.applied[c.leader()], "acknowledged")
}
