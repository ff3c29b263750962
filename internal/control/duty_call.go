package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// DutyCall holds the fields that every call of a singleton duty of the platform has.
type DutyCall struct {
	Subject duty.Subject
	// Holder and Fence identify the caller: later leaders have higher fences.
	Holder string
	Fence  uint64
	// NotAfter is the time of Step after which the call must no longer reach the platform.
	NotAfter time.Duration
}

// mayCallPlatform reports whether the platform may be called now about a subject. A new leader first waits until the
// previous leader's calls can no longer arrive.
func (c *Core) mayCallPlatform(subject duty.Subject) bool {
	return c.now-c.leadingSince >= c.config.OrderWait && c.dutyCalls.MayCall(c.now, subject)
}

// startDutyCall records the start of a call about a subject and returns its fields; finishDutyCall must follow.
func (c *Core) startDutyCall(subject duty.Subject) DutyCall {
	c.dutyCalls.RecordStart(c.now, subject)
	return DutyCall{Subject: subject, Holder: c.config.Name, Fence: c.leadingTerm, NotAfter: c.now + c.config.DutyLifetime}
}

// finishDutyCall records the result of a call. Results of an earlier term's calls are ignored.
func (c *Core) finishDutyCall(call DutyCall, outcome duty.Outcome) {
	if call.Fence == c.leadingTerm {
		c.dutyCalls.RecordOutcome(c.now, call.Subject, outcome)
	}
}

func newDutySchedule(config Config) *duty.Schedule {
	return duty.NewSchedule(duty.Config{Interval: config.DutyInterval})
}
