package limits

import "time"

const (
	// demandWindow is the length of the window over which demand is measured.
	demandWindow = time.Second
	// minimumWindow is the minimum length that counts for a window that has not ended.
	minimumWindow = 250 * time.Millisecond
	// demandWeight is the weight of the latest window in the measured demand.
	demandWeight = 0.5
	// idleAfter is how long after its last request a tenant without running or waiting requests is still reported.
	idleAfter = 10 * time.Second
)

// account is the state of one tenant at this gateway.
type account struct {
	limit  Limit
	shares leasedShares
	// level is the number of tokens in the bucket; a negative level is a debt.
	level    float64
	filledAt time.Duration
	inFlight int
	// waiting is the number of requests that wait for a share.
	waiting int
	// waitingTokens is the sum of the tokens of the waiting requests.
	waitingTokens float64
	demand        demand
	requested     requestedShare
}

// capacity returns the size of the token bucket at the current rate.
func (a *account) capacity(now, burst time.Duration) float64 {
	return a.shares.rate(now) * burst.Seconds()
}

// fill adds the tokens yielded up to now to the bucket.
func (a *account) fill(now, burst time.Duration) {
	a.level = min(a.level+a.shares.tokens(a.filledAt, now), a.capacity(now, burst))
	a.filledAt = now
}

// tokenWait returns the time until a request of this size can start after the waiting requests before it, which take
// ahead tokens; 0 for immediately, negative if the current share yields no tokens.
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

// demand measures what a tenant has requested at this gateway.
type demand struct {
	// usedTokens counts tokens since the last report.
	usedTokens float64
	// requestedTokens counts the tokens of all requests in this window, including refused ones.
	requestedTokens float64
	windowStart     time.Duration
	perSecond       float64
	// peakConcurrency is the largest number of concurrent requests wanted since the last report.
	peakConcurrency int
	lastRequestAt   time.Duration
}

func (d *demand) recordRequest(now time.Duration, tokens float64, wanted int) {
	d.rollWindow(now)
	d.requestedTokens += tokens
	d.peakConcurrency = max(d.peakConcurrency, wanted)
	d.lastRequestAt = now
}

// rollWindow starts a new window if the current one has ended.
func (d *demand) rollWindow(now time.Duration) {
	elapsed := now - d.windowStart
	if elapsed < demandWindow {
		return
	}
	sample := d.requestedTokens / elapsed.Seconds()
	d.perSecond += demandWeight * (sample - d.perSecond)
	if sample > d.perSecond {
		d.perSecond = sample // follow increases immediately, decreases slowly
	}
	d.requestedTokens, d.windowStart = 0, now
}

// wantedRate returns the token rate to request from the controllers.
func (d *demand) wantedRate(now time.Duration) float64 {
	d.rollWindow(now)
	elapsed := min(max(now-d.windowStart, minimumWindow), demandWindow)
	if d.perSecond > 0 {
		elapsed = demandWindow // the demand started before this window
	}
	return max(d.perSecond, d.requestedTokens/elapsed.Seconds())
}
