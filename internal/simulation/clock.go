package simulation

import "time"

// maximumDrift bounds how far a clock's rate is off real time; it is within the
// bound that controllers reckon with.
const maximumDrift = 0.015

// wallSkew bounds how far a wall clock is off.
const wallSkew = 2 * time.Second

// wallStart is the wall-clock time, in milliseconds since the epoch, at which the
// virtual time is zero.
const wallStart = 1_700_000_000_000

// clock is the monotonic clock of one process: it starts at zero with the process.
type clock struct {
	startedAt time.Duration
	rate      float64
	// wallOriginMs is what the process takes for the wall-clock time of its start.
	wallOriginMs int64
}

// newClock draws the clock of a process that starts now.
func (w *world) newClock() clock {
	skew := time.Duration((w.random.Float64()*2 - 1) * float64(wallSkew))
	return clock{
		startedAt:    w.now,
		rate:         1 + (w.random.Float64()*2-1)*maximumDrift,
		wallOriginMs: wallStart + (w.now + skew).Milliseconds(),
	}
}

// read returns the time on the clock.
func (c clock) read(now time.Duration) time.Duration {
	return time.Duration(float64(now-c.startedAt) * c.rate)
}
