package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newNamedCluster starts a cluster whose members all know each other's names.
func newNamedCluster(t *testing.T, size int, seed uint64) *testCluster {
	c := newTestCluster(t, 0, seed)
	c.peers = size
	for index := range size {
		name := fmt.Sprintf("controller-%d", index+1)
		c.names = append(c.names, name)
		c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.stepUntil("all voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == size })
	return c
}

// Guards against a disk that is lost again right after it was made a voter: its machine's former disk was still a voter
// then, and both counted for the quorum for ever.
func TestDiskIsLostAgainAfterItsPromotion(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d controllers", size), func(t *testing.T) {
			c := newNamedCluster(t, size, 1)
			c.commitCommand("kept")
			name := c.names[0]
			if c.leader() == name {
				name = c.names[1]
			}
			c.wipe(name, "second")
			c.stepUntil("vote of the second disk", func() bool {
				leader := c.leader()
				return leader != "" && c.cores[leader].members.isVoter(name+"/second")
			})
			c.wipe(name, "third")
			c.stepUntil("vote of the third disk alone", func() bool {
				leader := c.leader()
				return leader != "" && c.cores[leader].members.isVoter(name+"/third") && len(voterIDs(c.cores[leader])) == size
			})
			c.stepFor(time.Second)
			require.Contains(t, c.applied[name], "kept")
		})
	}
}
