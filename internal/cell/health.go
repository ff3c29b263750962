package cell

import "time"

const (
	// initialTimeout is how long to wait for an owner's answer before any round trip was measured.
	initialTimeout = 40 * time.Millisecond
	// minTimeout and maxTimeout bound the timeout that is derived from round trips. With a shorter one, a
	// process that waits for a processor would look dead; a longer one costs requests more than a decision
	// without the owner does.
	minTimeout = 15 * time.Millisecond
	maxTimeout = 120 * time.Millisecond
	// rttWeight and deviationWeight are the weights of a new round trip, deviationFactor is the number of mean
	// deviations in the timeout: the estimator of RFC 6298.
	rttWeight       = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
	// timeoutsBeforeSkip is the number of consecutive unanswered queries after which an owner is skipped: a
	// single datagram may be lost.
	timeoutsBeforeSkip = 2
	// initialSkip is how long an owner is skipped after timeoutsBeforeSkip timeouts; each further skip doubles it, up
	// to maxSkip.
	initialSkip = 400 * time.Millisecond
	maxSkip     = 5 * time.Second
)

// Health tracks how relays answer placement queries as cell owners. It is not safe for concurrent use.
type Health struct {
	rtt, deviation time.Duration
	relays         map[string]relayState
}

// relayState is the state of one relay.
type relayState struct {
	// timeouts counts the consecutive queries that were not answered in time.
	timeouts     int
	skippedUntil time.Duration
}

// NewHealth returns a Health without observations.
func NewHealth() *Health { return &Health{relays: map[string]relayState{}} }

// Timeout returns how long to wait for an owner's answer to a placement query.
func (h *Health) Timeout() time.Duration {
	if h.rtt == 0 {
		return initialTimeout
	}
	return min(max(h.rtt+deviationFactor*h.deviation, minTimeout), maxTimeout)
}

// RecordAnswer records that a relay has answered a query in time; took is the round trip.
func (h *Health) RecordAnswer(relay string, took time.Duration) {
	delete(h.relays, relay)
	if h.rtt == 0 {
		h.rtt, h.deviation = took, took/2
		return
	}
	difference := max(took-h.rtt, h.rtt-took)
	h.deviation += time.Duration(deviationWeight * float64(difference-h.deviation))
	h.rtt += time.Duration(rttWeight * float64(took-h.rtt))
}

// RecordTimeout records that a relay has not answered a placement query in time. It reports whether the relay is skipped
// from now on.
func (h *Health) RecordTimeout(now time.Duration, relay string) (skipped bool) {
	state := h.relays[relay]
	state.timeouts++
	if state.timeouts >= timeoutsBeforeSkip {
		const maxDoublings = 8
		state.skippedUntil = now + min(initialSkip<<min(state.timeouts-timeoutsBeforeSkip, maxDoublings), maxSkip)
	}
	h.relays[relay] = state
	return state.timeouts >= timeoutsBeforeSkip
}

// IsTrusted reports whether a relay is not skipped at present.
func (h *Health) IsTrusted(now time.Duration, relay string) bool {
	return now >= h.relays[relay].skippedUntil
}

// Retain keeps the state of listed relays and removes all others.
func (h *Health) Retain(listed func(relay string) bool) {
	for relay := range h.relays {
		if !listed(relay) {
			delete(h.relays, relay)
		}
	}
}
