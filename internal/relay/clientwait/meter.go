// Package clientwait tells apart why an answer did not end in time: its back end went on or paused, or its client read slowly.
package clientwait

import "time"

const (
	// minWait is the duration from which a write counts as a wait for the client. Shorter ones only copy bytes.
	minWait = time.Millisecond
	// slowClientShare is the share of an answer's time from which its client counts as slow.
	slowClientShare = 0.25
)

// Meter adds up how long writes to a client waited until the client had read. Its zero value is ready. It is not safe for
// concurrent use.
type Meter struct{ waited time.Duration }

// RecordWrite records how long one write lasted.
func (m *Meter) RecordWrite(lasted time.Duration) {
	if lasted >= minWait {
		m.waited += lasted
	}
}

// IsClientSlow reports whether the client may be the reason why an answer did not end within the given time.
func (m *Meter) IsClientSlow(total time.Duration) bool {
	return m.waited > time.Duration(slowClientShare*float64(total))
}
