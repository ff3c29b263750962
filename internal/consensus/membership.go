package consensus

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ProposeMembership appends a new membership. It may add, remove or promote at most
// one voter and takes effect when it is appended; the next change has to wait until
// it is committed. A learner is promoted only once it holds, synced, every entry
// that is committed.
func (c *Core) ProposeMembership(now time.Duration, membership *v1.Membership) (index, term uint64, err error) {
	c.observe(now)
	if err := c.mayPropose(); err != nil {
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
	c.pendingMember = index
	c.setMembers(membership)
	c.broadcastAppend()
	return index, c.term, nil
}

// checkMembership refuses a change that could let two quorums miss each other.
func (c *Core) checkMembership(changed memberSet) error {
	if len(changed.voters()) == 0 {
		return trace.Wrap(ErrMembershipStep, "the change leaves no voter")
	}
	if c.config.Safeguards.IsEnabled(SafeguardMembershipStep) {
		if c.pendingMember > c.log.commit || c.log.commit < c.leaderStart {
			return trace.Wrap(ErrMembershipPending, "entry %d is not committed", max(c.pendingMember, c.leaderStart))
		}
		if changes := c.members.voterChanges(changed); changes > 1 {
			return trace.Wrap(ErrMembershipStep, "the change touches %d voters", changes)
		}
	}
	for _, id := range changed.voters() {
		if !c.members.votes(id) && !c.caughtUp(id) {
			return trace.Wrap(ErrNotCaughtUp, "member %q", id)
		}
	}
	return nil
}

// caughtUp reports whether the learner holds, synced, all that is committed and has
// answered lately.
func (c *Core) caughtUp(id string) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLearnerCatchUp) {
		return true
	}
	progress := c.progress[id]
	return progress != nil && progress.state == progressReplicating && progress.match >= c.log.commit &&
		c.now-progress.heardAt < c.config.ElectionTimeout
}

// setMembers puts a membership in force.
func (c *Core) setMembers(membership *v1.Membership) {
	c.members = newMemberSet(membership)
	if c.role == RoleLeader {
		c.refreshProgress()
	}
}

// refreshProgress starts and ends the records of members that came and went.
func (c *Core) refreshProgress() {
	for _, id := range c.members.ids() {
		if c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.last().index + 1, ackedAt: never, heardAt: c.now}
		}
	}
	for id := range c.progress {
		if _, known := c.members.byID[id]; !known {
			delete(c.progress, id)
		}
	}
	c.ownProgress()
}

// lastMembershipAfter returns the index of the last membership entry after index, or 0.
func (c *Core) lastMembershipAfter(index uint64) uint64 {
	found := uint64(0)
	for _, entry := range c.log.between(index, c.log.last().index) {
		if entry.GetType() == v1.EntryType_ENTRY_TYPE_MEMBERSHIP {
			found = entry.GetIndex()
		}
	}
	return found
}

// reloadMembers finds the membership in force after the log has changed.
func (c *Core) reloadMembers() error {
	membership, err := c.membershipAt(c.log.last().index)
	if err != nil {
		return trace.Wrap(err)
	}
	c.setMembers(membership)
	return nil
}

// membershipAt returns the membership in force at the index, which is not below the snapshot's.
func (c *Core) membershipAt(index uint64) (*v1.Membership, error) {
	membership := c.log.snapshot.GetMetadata().GetMembership()
	start := max(c.log.base.index, c.log.snapshot.GetMetadata().GetIndex())
	for _, entry := range c.log.between(start, index) {
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
