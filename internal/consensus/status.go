package consensus

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Status is what a member knows at the moment.
type Status struct {
	ID   string
	Role Role
	Term uint64
	// Leader is the identity of the term's leader; empty when unknown.
	Leader        string
	LeaderName    string
	LeaderAddress string
	// Commit and Applied are log indexes; Applied counts what Ready handed out.
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Stable     uint64
	Compacted  uint64
	Membership *v1.Membership
	// MembershipCommitted tells that no change of membership is under way, as far as
	// this member knows.
	MembershipCommitted bool
	// Members is set at the leader only, sorted by identity.
	Members []MemberStatus
}

// MemberStatus is what the leader knows about one member.
type MemberStatus struct {
	Member *v1.Member
	// Match is the last log index known to be synced at the member.
	Match uint64
	// Silence is the time since its last answer.
	Silence time.Duration
}

// Status returns what this member knows. The membership must not be changed.
func (c *Core) Status() Status {
	leader := c.members.byID[c.leader]
	status := Status{
		ID: c.id, Role: c.role, Term: c.term, Leader: c.leader,
		LeaderName: leader.GetName(), LeaderAddress: leader.GetAddress(),
		Commit: c.log.commit, Applied: c.log.applied, LastIndex: c.log.last().index, Stable: c.log.stable,
		Compacted: c.log.base.index, Membership: c.members.membership,
		MembershipCommitted: c.lastMembershipAfter(c.log.commit) == 0,
	}
	if c.role != RoleLeader {
		return status
	}
	for _, id := range c.members.ids() {
		progress := c.progress[id]
		member := MemberStatus{Member: c.members.byID[id], Match: progress.match, Silence: c.now - progress.heardAt}
		if id == c.id {
			member.Silence = 0
		}
		status.Members = append(status.Members, member)
	}
	return status
}

// ID is this member's identity.
func (c *Core) ID() string { return c.id }

// Leader is the identity of the leader of this term; empty while none is known.
func (c *Core) Leader() string { return c.leader }

// LeaderAddress is where the leader of this term answers; empty while none is known.
func (c *Core) LeaderAddress() string { return c.members.byID[c.leader].GetAddress() }

// Membership is the quorum in force here. It must not be changed.
func (c *Core) Membership() *v1.Membership { return c.members.membership }

// IsLeader reports whether this member is the leader of its term, as far as it knows.
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
