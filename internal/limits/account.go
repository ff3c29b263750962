package limits

import "time"

const (
	// demandWindow is the time over which demand is measured.
	demandWindow = time.Second
	// minimumWindow is the least time over which a window that is not over yet counts.
	minimumWindow = 250 * time.Millisecond
	// demandWeight is the weight of the newest window in the measured demand.
	demandWeight = 0.5
	// idleAfter is how long a tenant without requests is still reported.
	idleAfter = 10 * time.Second
)

// account is one tenant at this gateway.
type account struct {
	limit  Limit
	shares leasedShares
	// level of the token bucket; negative is a debt.
	level    float64
	filledAt time.Duration
	inFlight int
	// waiting is the number of requests that wait for a share.
	waiting int
	// waitingTokens are their tokens.
	waitingTokens float64
	demand        demand
	requested     requestedShare
}

// capacity of the token bucket under the share in force.
func (a *account) capacity(now, burst time.Duration) float64 {
	return a.shares.rate(now) * burst.Seconds()
}

// fill brings the bucket up to now.
func (a *account) fill(now, burst time.Duration) {
	a.level = min(a.level+a.shares.tokens(a.filledAt, now), a.capacity(now, burst))
	a.filledAt = now
}

// tokenWait is the time until a request of this size passes behind others that wait with
// so many tokens: 0 for at once, negative when it will not under the present lease.
func (a *account) tokenWait(now, burst time.Duration, size, ahead float64) time.Duration {
	rate := a.shares.rate(now)
	if rate <= 0 {
		return -1
	}
	missing := ahead + min(size, a.capacity(now, burst)) - a.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// demand is what a tenant has asked for at this gateway.
type demand struct {
	// usedTokens counts tokens since the last report.
	usedTokens float64
	// requestedTokens counts the tokens of all requests, refused ones too, in this window.
	requestedTokens float64
	windowStart     time.Duration
	perSecond       float64
	// peakConcurrency is the largest number of requests wanted at once since the last report.
	peakConcurrency int
	lastRequestAt   time.Duration
}

func (d *demand) recordRequest(now time.Duration, tokens float64, wanted int) {
	d.rollWindow(now)
	d.requestedTokens += tokens
	d.peakConcurrency = max(d.peakConcurrency, wanted)
	d.lastRequestAt = now
}

// rollWindow ends the window when it is over.
func (d *demand) rollWindow(now time.Duration) {
	elapsed := now - d.windowStart
	if elapsed < demandWindow {
		return
	}
	sample := d.requestedTokens / elapsed.Seconds()
	d.perSecond += demandWeight * (sample - d.perSecond)
	if sample > d.perSecond {
		d.perSecond = sample // follow growth at once, decline slowly
	}
	d.requestedTokens, d.windowStart = 0, now
}

// wantedRate is the token rate to ask the controllers for.
func (d *demand) wantedRate(now time.Duration) float64 {
	d.rollWindow(now)
	elapsed := min(max(now-d.windowStart, minimumWindow), demandWindow)
	if d.perSecond > 0 {
		elapsed = demandWindow // the window began with requests
	}
	return max(d.perSecond, d.requestedTokens/elapsed.Seconds())
}
