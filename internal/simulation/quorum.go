package simulation

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// everyDiskVotes reports whether the committed membership holds every controller's
// disk in its place and no other disk.
func (w *world) everyDiskVotes() bool {
	for _, c := range w.controllers {
		if c.core == nil {
			continue
		}
		status := c.core.Status()
		if status.Ordering && status.Consensus.MembershipCommitted {
			return w.holdsEveryDisk(status.Consensus.Membership)
		}
	}
	return false
}

// holdsEveryDisk reports whether the members are the disks in use: the initial
// controllers' as voters, the standbys' as learners.
func (w *world) holdsEveryDisk(membership *v1.Membership) bool {
	learners := map[string]bool{}
	for _, member := range membership.GetMembers() {
		learners[member.GetId()] = member.GetLearner()
	}
	for _, c := range w.controllers {
		if learner, member := learners[c.diskID]; !member || learner != c.standby {
			return false
		}
	}
	return len(learners) == len(w.controllers)
}
