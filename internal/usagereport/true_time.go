package usagereport

import "time"

// offsetMemory is how long the best word of the true time is kept before a later one takes its place:
// steady clocks drift by less than a millisecond meanwhile.
const offsetMemory = 20 * time.Second

// trueTime estimates the time on which the controllers agree. Their word is old when it arrives, so
// that it never tells too much: the word that tells the most has been under way for the least time.
type trueTime struct {
	offset  time.Duration
	heardAt time.Duration
	known   bool
}

// hear takes the leader's word, just received; 0 means that it knows none.
func (t *trueTime) hear(now time.Duration, timeOfDayMs int64) {
	if timeOfDayMs == 0 {
		return
	}
	offset := time.Duration(timeOfDayMs)*time.Millisecond - now
	if t.known && offset < t.offset && now-t.heardAt < offsetMemory {
		return
	}
	t.offset, t.heardAt, t.known = offset, now, true
}

// at returns the true time of a moment, in milliseconds since the start of 1970.
func (t *trueTime) at(moment time.Duration) int64 { return (t.offset + moment).Milliseconds() }
