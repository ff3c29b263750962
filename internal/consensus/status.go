package consensus

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/voterplan"
)

// Status is a member's current view of the consensus group.
type Status struct {
	ID   string
	Role Role
	Term uint64
	// Leader is the identity of the term's leader; empty when unknown.
	Leader        string
	LeaderName    string
	LeaderAddress string
	// Commit and Applied are log indexes; Applied is the last entry returned by Ready.
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Stable    uint64
	Compacted uint64
	// LogBytes is the size of the data of the entries in memory.
	LogBytes   int
	Membership *v1.Membership
	// MembershipCommitted is true if this member knows of no uncommitted membership change. CommittedMembership is the
	// last membership that this member knows to be committed: a leader that is lost may take a later one with it.
	MembershipCommitted bool
	CommittedMembership *v1.Membership
	// Members is set only at the leader, sorted by identity.
	Members []MemberStatus
	// VoterCounts are set only at the leader.
	VoterCounts voterplan.Counts
	// Election is the last election in which this member was a candidate; nil if it has had a leader since.
	Election *Election
	// Decisions are the last decisions on members that this member took as a leader, oldest first.
	Decisions []NumberedDecision
}

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	Member *v1.Member
	// Match is the last log index known to be synced at the member.
	Match uint64
	// Silence is the time since the member's last answer.
	Silence time.Duration
}

// Status returns this member's current view. The membership must not be modified.
func (c *Core) Status() Status {
	leader := c.members.byID[c.leader]
	committed, isCommitted := c.committedMembership()
	status := Status{
		ID: c.id, Role: c.role, Term: c.term, Leader: c.leader,
		LeaderName: leader.GetName(), LeaderAddress: leader.GetAddress(),
		Commit: c.log.commit, Applied: c.log.applied, LastIndex: c.log.last().index, Stable: c.log.stable,
		Compacted: c.log.base.index, LogBytes: c.log.bytes, Membership: c.members.membership,
		MembershipCommitted: isCommitted,
		CommittedMembership: committed,
		Decisions:           c.decisions.recent,
		Election:            c.lastElection(),
	}
	if c.role != RoleLeader {
		return status
	}
	status.VoterCounts = c.voterCounts()
	for _, id := range c.members.ids() {
		progress := c.progress[id]
		member := MemberStatus{Member: c.members.byID[id], Match: progress.match, Silence: c.now - progress.lastAnswerAt}
		if id == c.id {
			member.Silence = 0
		}
		status.Members = append(status.Members, member)
	}
	return status
}

// committedMembership returns the last membership that this member knows to be committed, and whether that is the
// effective one.
func (c *Core) committedMembership() (committed *v1.Membership, isEffective bool) {
	if c.lastMembershipAfter(c.log.commit) == 0 {
		return c.members.membership, true
	}
	committed, err := c.membershipAt(c.log.commit)
	if err != nil {
		return c.members.membership, false // it was decoded when it became effective, so this does not occur
	}
	return committed, false
}

// ID returns this member's identity.
func (c *Core) ID() string { return c.id }

// Leader returns the identity of the leader of the current term; empty if unknown.
func (c *Core) Leader() string { return c.leader }

// LeaderAddress returns the address of the leader of the current term; empty if unknown.
func (c *Core) LeaderAddress() string { return c.members.byID[c.leader].GetAddress() }

// Membership returns the effective membership. It must not be modified.
func (c *Core) Membership() *v1.Membership { return c.members.membership }

// IsLeader reports whether this member considers itself the leader of its term.
func (c *Core) IsLeader() bool { return c.role == RoleLeader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Addresses returns the addresses of all members but this one, sorted by identity.
func (c *Core) Addresses() []string {
	addresses := make([]string, 0, len(c.members.byID))
	for _, id := range c.members.ids() {
		if id != c.id {
			addresses = append(addresses, c.address(id))
		}
	}
	return addresses
}
