package cell

import "time"

const (
	// firstTimeout is how long an answer is awaited before any round trip is known.
	firstTimeout = 40 * time.Millisecond
	// leastTimeout and mostTimeout bound what follows from round trips: a shorter one would take a
	// process that waits for its processor for a dead one, and a longer one costs requests more
	// than a decision without the owner does.
	leastTimeout = 15 * time.Millisecond
	mostTimeout  = 120 * time.Millisecond
	// tripWeight and deviationWeight are the weights of a new round trip, deviations how many mean
	// deviations an answer may be late: the estimator of RFC 6298.
	tripWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
	// missesBeforeDoubt is how many questions in a row go unanswered before an owner is passed
	// over: one datagram may be lost on its way.
	missesBeforeDoubt = 2
	// firstDoubt is how long an owner is then passed over; it doubles up to longestDoubt.
	firstDoubt   = 400 * time.Millisecond
	longestDoubt = 5 * time.Second
)

// Health is how relays answer that were asked as owners. It is not safe for concurrent use.
type Health struct {
	trip, deviation time.Duration
	relays          map[string]record
}

// record is what is known of one relay.
type record struct {
	// misses counts the questions in a row that were not answered in time.
	misses       int
	doubtedUntil time.Duration
}

// NewHealth returns a Health that has seen nothing.
func NewHealth() *Health { return &Health{relays: map[string]record{}} }

// Timeout is how long an answer is awaited now.
func (h *Health) Timeout() time.Duration {
	if h.trip == 0 {
		return firstTimeout
	}
	return min(max(h.trip+deviations*h.deviation, leastTimeout), mostTimeout)
}

// RecordAnswer notes that a relay has answered within its time.
func (h *Health) RecordAnswer(relay string, took time.Duration) {
	delete(h.relays, relay)
	if h.trip == 0 {
		h.trip, h.deviation = took, took/2
		return
	}
	off := max(took-h.trip, h.trip-took)
	h.deviation += time.Duration(deviationWeight * float64(off-h.deviation))
	h.trip += time.Duration(tripWeight * float64(took-h.trip))
}

// RecordTimeout notes that a relay has not answered in time. It reports whether the relay is passed over
// from now on.
func (h *Health) RecordTimeout(now time.Duration, relay string) (doubted bool) {
	known := h.relays[relay]
	known.misses++
	if known.misses >= missesBeforeDoubt {
		const mostDoublings = 8
		known.doubtedUntil = now + min(firstDoubt<<min(known.misses-missesBeforeDoubt, mostDoublings), longestDoubt)
	}
	h.relays[relay] = known
	return known.misses >= missesBeforeDoubt
}

// IsTrusted reports whether a relay is not passed over.
func (h *Health) IsTrusted(now time.Duration, relay string) bool {
	return now >= h.relays[relay].doubtedUntil
}

// Retain forgets the relays that are not listed.
func (h *Health) Retain(listed func(relay string) bool) {
	for relay := range h.relays {
		if !listed(relay) {
			delete(h.relays, relay)
		}
	}
}
