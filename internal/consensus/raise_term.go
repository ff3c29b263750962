package consensus

import (
	"time"

	"github.com/gravitational/trace"
)

// maximumRaisedTerm bounds what RaiseTerm takes over from outside, so that terms
// never come near their end.
const maximumRaisedTerm = 1 << 48

// RaiseTerm makes a leader give up its term for one above the given term, as if it had
// heard of another member there: the next leader's term is higher than that. It
// serves a quorum that was formed anew, whose terms begin below those that the
// world outside remembers.
func (c *Core) RaiseTerm(now time.Duration, above uint64) error {
	c.observe(now)
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
