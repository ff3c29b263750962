package listing

import "time"

const (
	// DirectReadAfter is how long no controller has led when a relay of few reads the list itself.
	DirectReadAfter = time.Second
	// ownInterval is the least time between readings of the list by this relay itself,
	// while no controller leads.
	ownInterval = 800 * time.Millisecond
	// ownCallsPerSecond bounds the calls for it of all relays together then: the list takes a fixed rate
	// of calls, whatever the number of relays and its length.
	ownCallsPerSecond = 80
)

// DirectRead tells when this relay reads the list of back ends itself.
type DirectRead struct {
	// planned tells that no controller leads and that dueAt holds.
	planned bool
	dueAt   time.Duration
}

// IsDue reports whether the relay reads the list now. lostAt is when a leader would have been heard
// of; calls is how many calls it takes all relays to read the list once, as far as that is known. The
// first readings of those that hold a list are spread.
func (o *DirectRead) IsDue(now, lostAt time.Duration, holdsList bool, calls int, draw func() float64) bool {
	if now < lostAt {
		o.planned = false
		return false
	}
	interval := max(time.Duration(calls)*time.Second/ownCallsPerSecond, ownInterval)
	if !o.planned {
		o.planned, o.dueAt = true, now
		if holdsList {
			o.dueAt += time.Duration(draw() * float64(interval-ownInterval))
		}
	}
	if now < o.dueAt {
		return false
	}
	o.dueAt = now + interval
	return true
}
