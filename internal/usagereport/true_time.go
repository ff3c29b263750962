package usagereport

import "time"

// offsetLifetime is how long the best offset is used before a later one replaces it. Monotonic clocks drift by less than a
// millisecond in that time.
const offsetLifetime = 20 * time.Second

// trueTime estimates the controllers' time. The time messages of controllers are outdated by their network latency, so
// they are never ahead of the true time: the message with the largest offset had the lowest latency.
type trueTime struct {
	offset    time.Duration
	updatedAt time.Duration
	known     bool
}

// update applies a time message received at now; 0 means that the leader does not know the time.
func (t *trueTime) update(now time.Duration, timeOfDayMs int64) {
	if timeOfDayMs == 0 {
		return
	}
	offset := time.Duration(timeOfDayMs)*time.Millisecond - now
	if t.known && offset < t.offset && now-t.updatedAt < offsetLifetime {
		return
	}
	t.offset, t.updatedAt, t.known = offset, now, true
}

// at returns the true time of a moment, in milliseconds since the Unix epoch.
func (t *trueTime) at(moment time.Duration) int64 { return (t.offset + moment).Milliseconds() }
