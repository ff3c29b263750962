package consensus

import (
	"slices"
	"time"
)

// HasValidLease reports whether this member is the only leader at the given time and its applied
// state contains everything committed so far, so that it can serve a read without a round trip.
// The owner must have processed all work from Ready.
func (c *Core) HasValidLease(now time.Duration) bool {
	return c.role == RoleLeader && c.log.commit >= c.leaderStartIndex && now < c.leaseEnd(now)
}

// leaseEnd returns the time until which no other member can have won an election.
func (c *Core) leaseEnd(now time.Duration) time.Duration {
	if c.transfer.timeoutNowSent {
		return distantPast
	}
	return c.quorumTime(now, func(p *progress) time.Duration { return p.ackedRoundAt }) + c.config.leaseDuration()
}

// quorumTime returns the latest time such that timeOf is at or after it for a quorum of the voters. For this member
// itself, now counts instead of timeOf.
func (c *Core) quorumTime(now time.Duration, timeOf func(*progress) time.Duration) time.Duration {
	voters := c.members.voters()
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		switch progress := c.progress[id]; {
		case id == c.id:
			times = append(times, now)
		case progress == nil:
			times = append(times, distantPast)
		default:
			times = append(times, timeOf(progress))
		}
	}
	if len(times) == 0 {
		return distantPast
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
