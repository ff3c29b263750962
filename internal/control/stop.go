package control

import (
	"cmp"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// StopRequested tells that the process is about to stop: a leader hands its
// leadership to another voter.
type StopRequested struct{}

func (StopRequested) isInput() {}

// handleStop hands leadership to the voter that has the most of the log; of equal ones
// to the one heard of last. Without another voter nothing changes.
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
	// An error means that a transfer is under way or that leadership is lost already.
	_ = c.consensus.TransferLeadership(c.now, target.Member.GetId())
}
