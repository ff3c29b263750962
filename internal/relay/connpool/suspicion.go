package connpool

import "time"

// suspicion says which connections to a back end may have lost their peer. While a back end is silent, it cannot be known
// whether it answers late or whether its open connections are lost and new ones would work. So connections from before
// the silence carry no new requests until one of them has received something.
type suspicion struct {
	isActive bool
	// silentSince is the start of the latest silence.
	silentSince time.Duration
}

// begin makes the connections that were open at silentSince suspect.
func (s *suspicion) begin(silentSince time.Duration) {
	s.isActive, s.silentSince = true, max(s.silentSince, silentSince)
}

// covers reports whether a connection that was opened at the given time is suspect.
func (s *suspicion) covers(openedAt time.Duration) bool {
	return s.isActive && openedAt <= s.silentSince
}

// recordReceived ends the suspicion when bytes have arrived on a suspect connection.
func (s *suspicion) recordReceived(openedAt time.Duration) {
	if s.covers(openedAt) {
		*s = suspicion{}
	}
}
