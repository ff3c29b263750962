package consensus

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ProposeMembership appends a new membership. A change may add, remove or promote at most one
// voter and takes effect when it is appended; the next change is refused until it is committed. A
// learner can be promoted only once it has synced every committed entry.
func (c *Core) ProposeMembership(now time.Duration, membership *v1.Membership) (index, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkMayPropose(); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	changed := newMemberSet(membership)
	if err := c.checkMembership(changed); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		return 0, 0, trace.Wrap(err, "encode membership")
	}
	index = c.append(v1.EntryType_ENTRY_TYPE_MEMBERSHIP, data)
	c.pendingMembershipIndex = index
	c.setMembers(membership)
	c.broadcastAppend()
	return index, c.term, nil
}

// checkMembership rejects a change after which two quorums might not overlap.
func (c *Core) checkMembership(changed memberSet) error {
	if len(changed.voters()) == 0 {
		return trace.Wrap(ErrMembershipStep, "the change leaves no voter")
	}
	if c.config.Safeguards.IsEnabled(SafeguardMembershipStep) {
		if c.pendingMembershipIndex > c.log.commit || c.log.commit < c.leaderStartIndex {
			return trace.Wrap(ErrMembershipPending, "entry %d is not committed", max(c.pendingMembershipIndex, c.leaderStartIndex))
		}
		if changes := c.members.voterChanges(changed); changes > 1 {
			return trace.Wrap(ErrMembershipStep, "the change touches %d voters", changes)
		}
	}
	for _, id := range changed.voters() {
		if !c.members.isVoter(id) && !c.hasCaughtUp(id) {
			return trace.Wrap(ErrNotCaughtUp, "member %q", id)
		}
	}
	return nil
}

// hasCaughtUp reports whether the learner has synced every committed entry and has answered
// within the last election timeout.
func (c *Core) hasCaughtUp(id string) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLearnerCatchUp) {
		return true
	}
	progress := c.progress[id]
	return progress != nil && progress.state == progressReplicating && progress.match >= c.log.commit &&
		c.now-progress.lastAnswerAt < c.config.ElectionTimeout
}

// setMembers makes a membership the effective one.
func (c *Core) setMembers(membership *v1.Membership) {
	c.members = newMemberSet(membership)
	if c.role == RoleLeader {
		c.refreshProgress()
	}
}

// refreshProgress creates progress records for new members and removes those of former members.
func (c *Core) refreshProgress() {
	for _, id := range c.members.ids() {
		if c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.last().index + 1, ackedRoundAt: distantPast, lastAnswerAt: c.now}
		}
	}
	for id := range c.progress {
		if _, known := c.members.byID[id]; !known {
			delete(c.progress, id)
		}
	}
	c.updateLocalProgress()
}

// lastMembershipAfter returns the index of the last membership entry after index, or 0.
func (c *Core) lastMembershipAfter(index uint64) uint64 {
	last := uint64(0)
	for _, entry := range c.log.entriesBetween(index, c.log.last().index) {
		if entry.GetType() == v1.EntryType_ENTRY_TYPE_MEMBERSHIP {
			last = entry.GetIndex()
		}
	}
	return last
}

// reloadMembers reads the effective membership again after the log has changed.
func (c *Core) reloadMembers() error {
	membership, err := c.membershipAt(c.log.last().index)
	if err != nil {
		return trace.Wrap(err)
	}
	c.setMembers(membership)
	return nil
}

// membershipAt returns the effective membership at an index that is not below the snapshot's index.
func (c *Core) membershipAt(index uint64) (*v1.Membership, error) {
	membership := c.log.snapshot.GetMetadata().GetMembership()
	start := max(c.log.base.index, c.log.snapshot.GetMetadata().GetIndex())
	for _, entry := range c.log.entriesBetween(start, index) {
		if entry.GetType() != v1.EntryType_ENTRY_TYPE_MEMBERSHIP {
			continue
		}
		membership = &v1.Membership{}
		if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
			return nil, trace.BadParameter("consensus: membership in entry %d cannot be read: %v", entry.GetIndex(), err)
		}
	}
	if membership == nil {
		membership = &v1.Membership{}
	}
	return membership, nil
}
