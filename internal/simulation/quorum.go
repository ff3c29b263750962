package simulation

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// leaderMembership returns the committed membership as the leader knows it, or nil.
func (w *world) leaderMembership() *v1.Membership {
	for _, c := range w.controllers {
		if c.core == nil {
			continue
		}
		status := c.core.Status()
		if status.LeadsWithLease && status.Consensus.MembershipCommitted {
			return status.Consensus.Membership
		}
	}
	return nil
}

// isMembershipComplete reports whether the committed membership holds exactly the disks in use, and has as many voters
// as there were initial controllers.
func (w *world) isMembershipComplete() bool {
	members := w.leaderMembership().GetMembers()
	memberDisks, voters := map[string]bool{}, 0
	for _, member := range members {
		memberDisks[member.GetId()] = true
		if !member.GetLearner() {
			voters++
		}
	}
	for _, c := range w.controllers {
		if !memberDisks[c.diskID] {
			return false
		}
	}
	return len(members) == len(w.controllers) && voters == w.options.Deployment.Controllers
}
