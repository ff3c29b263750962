package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// message is one sending of a request to one back end.
type message struct {
	request *request
	backEnd *backEnd
	// headers are headers that take the place of the client's.
	headers []header
	// deadline ends the exchange; the back end is told what is left of it.
	deadline time.Duration
	// stall is the silence after which the back end counts as failed; mayBreak tells that the
	// exchange is then broken off, since the request may go elsewhere.
	stall    time.Duration
	mayAbort bool
	// work is what the message asks of the back end, as far as known.
	work placement.Work
	// chosen is how the back end was picked; nil where that does not matter.
	chosen *selection
	// isPrefill tells that the prompt is read and nothing runs.
	isPrefill bool
	// prefixBlocks are the parts of the prompt that the back end prefixBlocks, newBlocks those of them that it
	// did not hold when the message was sent.
	prefixBlocks, newBlocks []placement.PrefixBlock
	// sentAt is when it was sent.
	sentAt time.Duration
}

// usePermit uses the permit that was taken when the message's back end was picked; it reports false where there is none
// that holds. A permit serves once.
func (m *message) usePermit(now time.Duration) bool {
	if m.chosen == nil || m.chosen.permittedAt == 0 {
		return false
	}
	acquiredAt := m.chosen.permittedAt
	m.chosen.permittedAt = 0
	return now-acquiredAt <= permitLifetime
}

// isOwed reports whether the request must go on at this back end.
func (m *message) isOwed() bool { return m.chosen != nil && m.chosen.isOwed }
