package consensus

import (
	"time"

	"github.com/gravitational/trace"
)

// maximumRaisedTerm is the highest term that RaiseTerm accepts, so that a wrong term that an engine reports cannot
// bring this member's term near overflow.
const maximumRaisedTerm = 1 << 48

// RaiseTerm makes a leader abandon its term for one above the given term, as if it had received a
// message with that term: the next leader's term is higher still. It is needed after a quorum was
// formed anew, whose terms start below the terms that engines have already seen.
func (c *Core) RaiseTerm(now time.Duration, above uint64) error {
	c.advanceClock(now)
	switch {
	case c.role != RoleLeader:
		return trace.Wrap(ErrNotLeader, "role is %v", c.role)
	case above < c.term:
		return nil
	case above > maximumRaisedTerm:
		return trace.BadParameter("term %d is above %d", above, uint64(maximumRaisedTerm))
	}
	c.becomeFollower(above+1, "")
	return nil
}
