package consensus

import (
	"testing"
	"time"
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
	c.stepUntil("vote", func() bool { leader := c.leader(); return leader != "" && c.cores[leader].members.isVoter("controller-6/first") })
}
