package simulation

import "time"

// maximumDrift bounds how far the rate of a clock differs from real time. It is within the drift that controllers
// allow for.
const maximumDrift = 0.015

// wallSkew bounds how far a wall clock is off.
const wallSkew = 2 * time.Second

// wallStart is the wall-clock time, in milliseconds since the epoch, at which the
// virtual time is zero.
const wallStart = 1_700_000_000_000

// clock is the monotonic clock of one process; it is zero at the start of the process.
type clock struct {
	startedAt time.Duration
	rate      float64
	// wallOriginMs is the wall-clock time of the start of the process by its own, possibly wrong, wall clock.
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

// read returns the time on the clock at the virtual time now.
func (c clock) read(now time.Duration) time.Duration {
	return time.Duration(float64(now-c.startedAt) * c.rate)
}
