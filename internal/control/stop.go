package control

import (
	"cmp"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// StopRequested reports that the process is about to stop: a leader transfers its
// leadership to another voter.
type StopRequested struct{}

func (StopRequested) isInput() {}

// handleStop transfers leadership to the voter with the longest matching log, and among equal ones to
// the most recently active one. Without another voter nothing changes.
func (c *Core) handleStop() {
	status := c.consensus.Status()
	voters := slices.DeleteFunc(status.Members, func(member consensus.MemberStatus) bool {
		return member.Member.GetLearner() || member.Member.GetId() == status.ID
	})
	if len(voters) == 0 {
		return
	}
	target := slices.MaxFunc(voters, func(a, b consensus.MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Match, b.Match), cmp.Compare(b.Silence, a.Silence))
	})
	// An error means that a transfer is in progress or that leadership is already lost.
	_ = c.consensus.TransferLeadership(c.now, target.Member.GetId())
}
