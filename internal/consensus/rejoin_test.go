package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a learner that stands still for longer than its leader waits, is removed, and never asks for admission
// again: it probed its named peers, of which a seeded member has none, and so never its seeds.
func TestLearnerThatStoodStillRejoins(t *testing.T) {
	c := newToleratingCluster(t, 3)
	c.join("controller-6")
	c.stepUntil("admission", func() bool {
		member := c.cores["controller-6"].members.byID["controller-6/first"]
		return member.GetLearner()
	})
	c.frozen["controller-6"] = true
	c.stepFor((learnerSilence + 1) * time.Second)
	c.frozen["controller-6"] = false
	c.stepUntil("vote", func() bool {
		leader := c.leader()
		return leader != "" && c.cores[leader].members.isVoter("controller-6/first")
	})
}

// Guards against disks that are emptied together, all seeds among them, and that never find the quorum: they probed only
// each other, while the rest of the quorum went on sending to their former disks.
func TestEmptiedSeedsFindTheQuorum(t *testing.T) {
	c := newSeededCluster(t, 7, 4)
	for _, name := range c.names {
		c.cores[name].config.FormationSize = 7
	}
	c.formationSize = 7
	c.stepUntil("seven voters", func() bool { leader := c.leader(); return leader != "" && len(voterIDs(c.cores[leader])) == 7 })
	c.commitCommand("kept")
	for _, name := range c.seeds {
		c.wipe(name, "second")
	}
	c.stepUntil("votes of the emptied disks", func() bool {
		leader := c.leader()
		if leader == "" || len(voterIDs(c.cores[leader])) != 7 {
			return false
		}
		for _, name := range c.seeds {
			if !c.cores[leader].members.isVoter(name + "/second") {
				return false
			}
		}
		return true
	})
	require.Contains(t, c.applied[c.leader()], "kept")
}
