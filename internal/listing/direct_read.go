package listing

import "time"

const (
	// DirectReadAfter is how long a relay of a small fleet waits without a leader before it reads the list
	// itself.
	DirectReadAfter = time.Second
	// minimumDirectInterval is the minimum time between two reads of the list by this relay while no
	// controller leads.
	minimumDirectInterval = 800 * time.Millisecond
	// directCallsPerSecond limits the rate of calls for such reads by all relays together: the platform
	// accepts a fixed rate, for any number of relays and any length of the list.
	directCallsPerSecond = 80
)

// DirectRead schedules this relay's own reads of the list of back ends.
type DirectRead struct {
	// scheduled is set while no controller leads and dueAt is valid.
	scheduled bool
	dueAt     time.Duration
}

// IsDue reports whether the relay must read the list now. lostAt is the time from which the lack of a leader
// counts; calls is the number of calls that all relays need to read the list once, as far as known. The first
// reads of relays that have a list are spread over the interval.
func (d *DirectRead) IsDue(now, lostAt time.Duration, hasList bool, calls int, draw func() float64) bool {
	if now < lostAt {
		d.scheduled = false
		return false
	}
	interval := max(time.Duration(calls)*time.Second/directCallsPerSecond, minimumDirectInterval)
	if !d.scheduled {
		d.scheduled, d.dueAt = true, now
		if hasList {
			d.dueAt += time.Duration(draw() * float64(interval-minimumDirectInterval))
		}
	}
	if now < d.dueAt {
		return false
	}
	d.dueAt = now + interval
	return true
}
