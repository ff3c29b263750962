package relay

import "time"

const (
	// ownListingAfter is how long no controller has led when a relay of few reads the list itself.
	ownListingAfter = time.Second
	// ownListingInterval is the least time between readings of the list by this relay itself,
	// while no controller leads.
	ownListingInterval = 800 * time.Millisecond
	// ownListingsPerSecond is how often all relays together read it then: the list takes a fixed
	// rate of calls, whatever the number of relays.
	ownListingsPerSecond = 20
)

// ownListing tells when this relay reads the list of back ends itself.
type ownListing struct {
	// planned tells that no controller leads and that dueAt holds.
	planned bool
	dueAt   time.Duration
}

// isDue reports whether the relay reads the list now. lostAt is when a leader would have been heard
// of; relays is the number of relays as far as it is known. The first readings of those that hold
// a list are spread.
func (o *ownListing) isDue(now, lostAt time.Duration, holdsList bool, relays int, draw func() float64) bool {
	if now < lostAt {
		o.planned = false
		return false
	}
	interval := max(time.Duration(relays)*time.Second/ownListingsPerSecond, ownListingInterval)
	if !o.planned {
		o.planned, o.dueAt = true, now
		if holdsList {
			o.dueAt += time.Duration(draw() * float64(interval-ownListingInterval))
		}
	}
	if now < o.dueAt {
		return false
	}
	o.dueAt = now + interval
	return true
}
