package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Guards against counts that leave out clients which a relay answered too late, or count those that left.
func TestClientsWithoutAnswerAtTheirDeadlineAreCounted(t *testing.T) {
	recorded := historyWith(func(h *history.History) {
		add := func(id string, change func(*history.Sending)) {
			h.Sendings = append(h.Sendings, changedSending(request(id, "safe", 10*second), func(s *history.Sending) {
				s.Connected, s.AnsweredAt, s.EndedAt = true, s.SentAt+2*second, s.SentAt+2*second
				change(s)
			}))
		}
		add("late", func(*history.Sending) {})
		add("late while its relay is frozen", func(s *history.Sending) { s.Front = "frozen" })
		add("never", func(s *history.Sending) { s.Status, s.AnsweredAt = 0, 0 })
		add("never while its relay is frozen", func(s *history.Sending) { s.Front, s.Status, s.AnsweredAt = "frozen", 0, 0 })
		add("at the deadline", func(s *history.Sending) { s.AnsweredAt = s.SentAt + second })
		add("left", func(s *history.Sending) { s.Status, s.AnsweredAt, s.ClosedAt = 0, 0, s.EndedAt })
		add("not connected", func(s *history.Sending) { s.Status, s.AnsweredAt, s.Connected = 0, 0, false })
		h.Faults = []history.Fault{{Kind: history.Freeze, Target: "frozen", From: 9 * second, To: 13 * second}}
	})
	require.Equal(t, Overdue{All: 4, Never: 2, Owed: 2, NeverOwed: 1}, CountOverdue(recorded))
}
