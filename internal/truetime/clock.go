package truetime

import (
	"slices"
	"time"
)

const (
	// readingInterval is the time between two readings of the own clock that are kept.
	readingInterval = time.Second
	// readingsKept bounds them: a clock that jumps for less than half of that time is not followed.
	readingsKept = 61
	// peerMemory is how long the word of another controller counts.
	peerMemory = 10 * time.Second
)

// Clock agrees on the time of day. Steady times are durations since an origin of the caller's and
// never go back; times of day are milliseconds since the start of 1970.
type Clock struct {
	// offsets are those of the own readings, oldest first: time of day less steady time.
	offsets []time.Duration
	readAt  time.Duration
	peers   map[string]peerOffset
}

// peerOffset is what another controller takes the time of day to be, by the own steady clock.
type peerOffset struct {
	offset  time.Duration
	heardAt time.Duration
}

// New returns a clock that has read nothing yet.
func New() *Clock { return &Clock{peers: map[string]peerOffset{}} }

// AddReading takes a reading of the own clock.
func (c *Clock) AddReading(now time.Duration, timeOfDayMs int64) {
	if len(c.offsets) > 0 && now-c.readAt < readingInterval {
		return
	}
	c.readAt = now
	c.offsets = append(c.offsets, offsetOf(now, timeOfDayMs))
	if len(c.offsets) > readingsKept {
		c.offsets = c.offsets[1:]
	}
}

// AddPeerReading takes another controller's word, just received.
func (c *Clock) AddPeerReading(now time.Duration, peer string, timeOfDayMs int64) {
	c.peers[peer] = peerOffset{offset: offsetOf(now, timeOfDayMs), heardAt: now}
}

// LocalTime returns what this controller alone takes the time of day to be: the median of its readings. It is
// 0 before the first.
func (c *Clock) LocalTime(now time.Duration) int64 {
	if len(c.offsets) == 0 {
		return 0
	}
	return (median(c.offsets) + now).Milliseconds()
}

// AgreedTime returns the median of what the controllers take the time of day to be; false unless a
// majority of so many has been heard of lately, this one among them.
func (c *Clock) AgreedTime(now time.Duration, controllers int) (timeOfDayMs int64, agreed bool) {
	if len(c.offsets) == 0 {
		return 0, false
	}
	offsets := []time.Duration{median(c.offsets)}
	for peer, told := range c.peers {
		if now-told.heardAt > peerMemory {
			delete(c.peers, peer)
			continue
		}
		offsets = append(offsets, told.offset)
	}
	if 2*len(offsets) <= controllers {
		return 0, false
	}
	return (median(offsets) + now).Milliseconds(), true
}

func offsetOf(now time.Duration, timeOfDayMs int64) time.Duration {
	return time.Duration(timeOfDayMs)*time.Millisecond - now
}

// median returns the middle one, the lower of two.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[(len(sorted)-1)/2]
}
