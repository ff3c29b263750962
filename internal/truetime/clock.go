package truetime

import (
	"slices"
	"time"
)

const (
	// readingInterval is the minimum time between two stored readings of the local clock.
	readingInterval = time.Second
	// maximumReadings limits the stored readings. A jump of the clock that lasts for less than half of their time span has
	// no effect.
	maximumReadings = 61
	// peerReadingLifetime is how long a reading from another controller is used.
	peerReadingLifetime = 10 * time.Second
)

// Clock computes the agreed time of day. Steady times are durations since an origin of the caller's
// choice and never go back; times of day are milliseconds since the Unix epoch.
type Clock struct {
	// offsets are the differences between time of day and steady time in the local readings, oldest first.
	offsets       []time.Duration
	lastReadingAt time.Duration
	peers         map[string]peerOffset
}

// peerOffset is another controller's time of day, as its offset from the local steady clock.
type peerOffset struct {
	offset     time.Duration
	receivedAt time.Duration
}

// New returns a Clock without readings.
func New() *Clock { return &Clock{peers: map[string]peerOffset{}} }

// AddReading adds a reading of the local clock. It is ignored within readingInterval of the last one.
func (c *Clock) AddReading(now time.Duration, timeOfDayMs int64) {
	if len(c.offsets) > 0 && now-c.lastReadingAt < readingInterval {
		return
	}
	c.lastReadingAt = now
	c.offsets = append(c.offsets, offsetOf(now, timeOfDayMs))
	if len(c.offsets) > maximumReadings {
		c.offsets = c.offsets[1:]
	}
}

// AddPeerReading adds the time of day that another controller reported in a message just received.
func (c *Clock) AddPeerReading(now time.Duration, peer string, timeOfDayMs int64) {
	c.peers[peer] = peerOffset{offset: offsetOf(now, timeOfDayMs), receivedAt: now}
}

// LocalTime returns the time of day as this controller alone sees it, from the median of its readings. It
// returns 0 before the first reading.
func (c *Clock) LocalTime(now time.Duration) int64 {
	if len(c.offsets) == 0 {
		return 0
	}
	return (median(c.offsets) + now).Milliseconds()
}

// AgreedTime returns the median of the controllers' times of day. It reports false unless a majority of
// the given number of controllers, including this one, has recent readings.
func (c *Clock) AgreedTime(now time.Duration, controllers int) (timeOfDayMs int64, agreed bool) {
	if len(c.offsets) == 0 {
		return 0, false
	}
	offsets := []time.Duration{median(c.offsets)}
	for peer, reading := range c.peers {
		if now-reading.receivedAt > peerReadingLifetime {
			delete(c.peers, peer)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	if 2*len(offsets) <= controllers {
		return 0, false
	}
	return (median(offsets) + now).Milliseconds(), true
}

func offsetOf(now time.Duration, timeOfDayMs int64) time.Duration {
	return time.Duration(timeOfDayMs)*time.Millisecond - now
}

// median returns the middle value, or the lower of the two middle values.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[(len(sorted)-1)/2]
}
