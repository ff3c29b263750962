package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// message is one attempt to send a request to one back end.
type message struct {
	request *request
	backEnd *backEnd
	// ownCanceller aborts this exchange alone; nil for that of the request.
	ownCanceller *canceller
	// headers replace the client's headers of the same names.
	headers []header
	// deadline ends the exchange; the back end is sent the time that is left.
	deadline time.Duration
	// cutoff is sent to the back end in place of the deadline if it is later: another relay, which keeps a margin of its own
	// before it, must have the whole time for a stream that has begun.
	cutoff time.Duration
	// stall is the silence after which the back end counts as failed. The exchange is then aborted once reserve reports that
	// another back end answers the request; it is not aborted if reserve is nil.
	stall   time.Duration
	reserve reserveReplacement
	// keep reports whether the request still waits for this answer, and cancels the replacement if so. It is called when the head
	// of the answer was read; nil if the answer is never replaced.
	keep func() bool
	// work is the expected work at the back end. onWorkAdded is called when it counts there; nil for no call.
	work        placement.Work
	onWorkAdded func()
	// selection is the selection of the back end; nil for a message that is not sent, see awaitCached.
	selection *backEndSelection
	// dependsOnVersion is true if the stream must go on, or may have to, at the software version of the back end. isBound is true if it
	// must go on there. onVersion is called with the version that serves the message, before it is sent; nil for no call.
	dependsOnVersion, isBound bool
	onVersion                 func(version streamorigin.Version)
	// isPrefill is true if the message only prefills the prompt, so that nothing runs.
	isPrefill bool
	// prefixBlocks are the prompt's blocks; newBlocks are those that the back end had not cached when the message was sent.
	prefixBlocks, newBlocks []placement.PrefixBlock
	// sentAt is when the message was sent.
	sentAt time.Duration
	// hasNewConnection is true if no idle connection could carry the message.
	hasNewConnection bool
	// relativeTimePercent is the relative time that the back end reported with its answer, in percent of the usual time;
	// 0 if it reported none.
	relativeTimePercent int
}

// canceller returns the canceller that aborts this exchange.
func (m *message) canceller() *canceller {
	if m.ownCanceller != nil {
		return m.ownCanceller
	}
	return &m.request.canceller
}

// keepsRequest reports whether the request still waits for the answer to this message.
func (m *message) keepsRequest() bool { return m.keep == nil || m.keep() }

// usePermit consumes the permit that was acquired when the back end was selected. It returns false when there is none or
// it has expired. A permit is valid for one message.
func (m *message) usePermit(now time.Duration) bool {
	if m.selection == nil || m.selection.permittedAt == 0 {
		return false
	}
	acquiredAt := m.selection.permittedAt
	m.selection.permittedAt = 0
	return now-acquiredAt <= permitLifetime
}

// isMigrated reports whether the message continues a run that has stopped elsewhere.
func (m *message) isMigrated() bool { return m.selection != nil && m.selection.isMigrated }

// mustResume reports whether the run must continue at this back end.
func (m *message) mustResume() bool { return m.selection != nil && m.selection.mustResume }
