package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// DutyCall is what all calls of the platform's singleton duties have.
type DutyCall struct {
	Matter duty.Matter
	// Holder and Fence say who calls: fences of later leaders are higher.
	Holder string
	Fence  uint64
	// NotAfter is the time of Step after which the call must not reach the platform any more.
	NotAfter time.Duration
}

// mayCall reports whether a call on a matter may be made now. A new leader first lets the time of its
// predecessor's calls pass.
func (c *Core) mayCall(matter duty.Matter) bool {
	return c.now-c.leadingSince >= c.config.OrderWait && c.desk.May(c.now, matter)
}

// beginCall begins a call on a matter; endCall must follow.
func (c *Core) beginCall(matter duty.Matter) DutyCall {
	c.desk.Began(c.now, matter)
	return DutyCall{Matter: matter, Holder: c.config.Name, Fence: c.leadingTerm, NotAfter: c.now + c.config.DutyLife}
}

// endCall notes what became of a call. That of an earlier term tells nothing of this one's.
func (c *Core) endCall(call DutyCall, outcome duty.Outcome) {
	if call.Fence == c.leadingTerm {
		c.desk.Answered(c.now, call.Matter, outcome)
	}
}

func newDesk(config Config) *duty.Desk {
	return duty.NewDesk(duty.Config{Interval: config.DutyInterval})
}
