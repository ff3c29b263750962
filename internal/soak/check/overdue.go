package check

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Overdue counts the clients that still waited at their deadline and had no answer or refusal.
type Overdue struct {
	// All counts those that had none Bounds.LossSlack after the deadline, Never those of them that never got one.
	All   int `json:"all"`
	Never int `json:"never"`
	// Owed and NeverOwed count those of them whose relay had no fault that excuses it.
	Owed      int `json:"owed"`
	NeverOwed int `json:"never_owed"`
}

// String formats the counts on one line.
func (o Overdue) String() string {
	return fmt.Sprintf("no answer at the deadline: %d clients, %d of them never; at relays without a fault of their own: %d, %d of them never", o.All, o.Never, o.Owed, o.NeverOwed)
}

// CountOverdue counts the clients that had no answer at their deadline.
func CountOverdue(recorded *history.History) Overdue {
	var counted Overdue
	for _, sending := range recorded.Sendings {
		if !isOverdue(recorded, sending) {
			continue
		}
		isOwed, isNever := mustAnswer(recorded, sending, sending.EndedAt), sending.Status == 0
		counted.All++
		if isNever {
			counted.Never++
		}
		if isOwed {
			counted.Owed++
		}
		if isNever && isOwed {
			counted.NeverOwed++
		}
	}
	return counted
}

// isOverdue reports whether a client was still there Bounds.LossSlack after its deadline and had no answer.
func isOverdue(recorded *history.History, sending history.Sending) bool {
	due := sending.SentAt + sending.Deadline + recorded.Bounds.LossSlack
	hadAnswer := sending.Status != 0 && sending.AnsweredAt <= due
	return sending.Connected && sending.ClosedAt == 0 && !hadAnswer && sending.EndedAt > due
}

// neverAnswered finds clients that waited beyond their deadline and got no answer or refusal at all, from a relay that had
// no fault of its own.
func neverAnswered(recorded *history.History) []Finding {
	var findings []Finding
	for _, sending := range recorded.Sendings {
		if sending.Status == 0 && isOverdue(recorded, sending) && mustAnswer(recorded, sending, sending.EndedAt) {
			findings = append(findings, newFinding(Lost, sending.EndedAt, "request %s at %s got no answer until %s after it was sent, its deadline was %s", sending.ID, sending.Front, sending.EndedAt-sending.SentAt, sending.Deadline))
		}
	}
	return findings
}
