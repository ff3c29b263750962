package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// message is one sending of a request to one back end.
type message struct {
	request *request
	backEnd *backEnd
	// set are headers that take the place of the client's.
	set []header
	// deadline ends the exchange; the back end is told what is left of it.
	deadline time.Duration
	// stall is the silence after which the back end counts as failed; mayBreak tells that the
	// exchange is then broken off, since the request may go elsewhere.
	stall    time.Duration
	mayBreak bool
	// work is what the message asks of the back end, as far as known.
	work placement.Work
	// chosen is how the back end was picked; nil where that does not matter.
	chosen *place
	// reading tells that the prompt is read and nothing runs.
	reading bool
	// reads are the parts of the prompt that the back end reads, begun those of them that it
	// did not hold when the message was sent.
	reads, begun []placement.PrefixBlock
	// sentAt is when it was sent.
	sentAt time.Duration
}

// usePermit uses the permit that was taken when the message's back end was picked; it reports false where there is none
// that holds. A permit serves once.
func (m *message) usePermit(now time.Duration) bool {
	if m.chosen == nil || m.chosen.permittedAt == 0 {
		return false
	}
	taken := m.chosen.permittedAt
	m.chosen.permittedAt = 0
	return now-taken <= permitLifetime
}

// owed reports whether the request must go on at this back end.
func (m *message) owed() bool { return m.chosen != nil && m.chosen.owed }
