package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against voters that are removed although they only stand still: two silent voters of five were removed for one
// learner, and the loss of two disks of the four voters left no quorum.
func TestSilentVotersStayWhileALearnerJoins(t *testing.T) {
	c := newToleratingCluster(t, 2)
	leader := c.waitLeader().config.Name
	var others []string
	for _, name := range c.names {
		if name != leader {
			others = append(others, name)
		}
	}
	frozen, wiped := others[2:], []string{leader, others[0]}
	for _, name := range frozen {
		c.frozen[name] = true
	}
	c.stepFor(3750 * time.Millisecond)
	c.join("controller-6")
	c.stepFor(3250 * time.Millisecond)
	c.commitCommand("acknowledged")
	c.inbox = nil
	for _, name := range wiped {
		c.wipe(name, "second")
	}
	for _, name := range frozen {
		c.frozen[name] = false
	}
	c.stepUntil("six voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 6 })
	require.Contains(t, c.applied[c.leader()], "acknowledged")
}
