package consensus

import (
	"slices"
	"time"
)

// HasValidLease reports whether this member is the only leader at the given time and
// its applied state holds everything committed before: a read then needs no round
// trip. The owner must have drained Ready.
func (c *Core) HasValidLease(now time.Duration) bool {
	return c.role == RoleLeader && c.log.commit >= c.leaderStart && now < c.leaseEnd(now)
}

// leaseEnd returns the time until which no other member can have won an election.
func (c *Core) leaseEnd(now time.Duration) time.Duration {
	if c.transfer.sent {
		return never
	}
	return c.quorumTime(now, func(p *progress) time.Duration { return p.ackedAt }) + c.config.leaseDuration()
}

// quorumTime returns the newest time that a quorum has reached; this member itself
// is always up to now.
func (c *Core) quorumTime(now time.Duration, reached func(*progress) time.Duration) time.Duration {
	voters := c.members.voters()
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		switch progress := c.progress[id]; {
		case id == c.id:
			times = append(times, now)
		case progress == nil:
			times = append(times, never)
		default:
			times = append(times, reached(progress))
		}
	}
	if len(times) == 0 {
		return never
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
