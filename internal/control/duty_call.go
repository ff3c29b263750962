package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// DutyCall is what all calls of the platform's singleton duties have.
type DutyCall struct {
	Subject duty.Subject
	// Holder and Fence say who calls: fences of later leaders are higher.
	Holder string
	Fence  uint64
	// NotAfter is the time of Step after which the call must not reach the platform any more.
	NotAfter time.Duration
}

// mayCallPlatform reports whether a call on a subject may be made now. A new leader first lets the time of its
// predecessor's calls pass.
func (c *Core) mayCallPlatform(subject duty.Subject) bool {
	return c.now-c.leadingSince >= c.config.OrderWait && c.dutyCalls.MayCall(c.now, subject)
}

// startDutyCall begins a call on a subject; endCall must follow.
func (c *Core) startDutyCall(subject duty.Subject) DutyCall {
	c.dutyCalls.RecordStart(c.now, subject)
	return DutyCall{Subject: subject, Holder: c.config.Name, Fence: c.leadingTerm, NotAfter: c.now + c.config.DutyLifetime}
}

// finishDutyCall notes what became of a call. That of an earlier term tells nothing of this one's.
func (c *Core) finishDutyCall(call DutyCall, outcome duty.Outcome) {
	if call.Fence == c.leadingTerm {
		c.dutyCalls.RecordOutcome(c.now, call.Subject, outcome)
	}
}

func newDutySchedule(config Config) *duty.Schedule {
	return duty.NewSchedule(duty.Config{Interval: config.DutyInterval})
}
