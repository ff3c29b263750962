package relay

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is how finely the window of a retry budget is divided.
	budgetBuckets = 10
	// budgetSlackShare is the part of the fleet's slack that relays share out; the rest
	// covers restarts, which forget what was spent, and counts of relays that lag.
	budgetSlackShare = 0.7
	// budgetRatioShare is likewise the part of the ratio that is used.
	budgetRatioShare = 0.85
	// relaysUnknown stands for the number of relays until a controller tells it.
	relaysUnknown = 64
)

// retryBudget bounds how many sendings beyond the first of each request this relay makes
// to each service within any window: a ratio of its own requests, and its share of a slack
// that the whole fleet has. Since every relay keeps to its part, the fleet keeps to the
// whole without asking anyone. It is safe for concurrent use.
type retryBudget struct {
	mutex    sync.Mutex
	ratio    float64
	window   time.Duration
	slack    float64
	relays   int
	services map[string]*budgetWindow
}

// budgetWindow counts over one more bucket than the window has, so that every window that
// ends now lies within.
type budgetWindow struct {
	firstBucket int64
	requests    [budgetBuckets + 1]int
	extras      [budgetBuckets + 1]int
}

func newRetryBudget(ratio float64, window time.Duration, slack float64) *retryBudget {
	return &retryBudget{ratio: ratio, window: window, slack: slack, relays: relaysUnknown, services: map[string]*budgetWindow{}}
}

// setBounds changes the bounds. A window of another length begins empty.
func (b *retryBudget) setBounds(ratio float64, window time.Duration, slack float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if window != b.window {
		b.services = map[string]*budgetWindow{}
	}
	b.ratio, b.window, b.slack = ratio, window, slack
}

// setRelays tells how many relays share the slack.
func (b *retryBudget) setRelays(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if count > 0 {
		b.relays = count
	}
}

// request notes a request for the service.
func (b *retryBudget) request(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	window.requests[len(window.requests)-1]++
}

// take reports whether one more sending may be made, and counts it.
func (b *retryBudget) take(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	if !b.hasRoom(window) {
		return false
	}
	window.extras[len(window.extras)-1]++
	return true
}

// allows reports whether take would succeed.
func (b *retryBudget) allows(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.hasRoom(b.advance(now, service))
}

// least is how many sendings may be made to the service that has fewest left.
func (b *retryBudget) least(now time.Duration) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	least := b.left(&budgetWindow{})
	for service := range b.services {
		least = min(least, b.left(b.advance(now, service)))
	}
	return least
}

// hasRoom reports whether one more sending may be made.
func (b *retryBudget) hasRoom(window *budgetWindow) bool { return b.left(window) >= 1 }

// left is what the requests in the window allow, its oldest bucket not counted, less what was
// spent in it, its oldest bucket counted whole.
func (b *retryBudget) left(window *budgetWindow) float64 {
	requests, extras := 0, 0
	for index := range window.extras {
		extras += window.extras[index]
		if index > 0 {
			requests += window.requests[index]
		}
	}
	allowed := b.ratio*budgetRatioShare*float64(requests) + b.slack*budgetSlackShare/float64(b.relays)
	return allowed - float64(extras)
}

// advance returns the service's window with its last bucket at now.
func (b *retryBudget) advance(now time.Duration, service string) *budgetWindow {
	window := b.services[service]
	first := int64(now/(b.window/budgetBuckets)) - budgetBuckets
	if window == nil {
		window = &budgetWindow{firstBucket: first}
		b.services[service] = window
	}
	passed := min(max(first-window.firstBucket, 0), int64(len(window.extras)))
	window.firstBucket = max(window.firstBucket, first)
	shift(&window.requests, int(passed))
	shift(&window.extras, int(passed))
	return window
}

// shift drops the oldest buckets.
func shift(buckets *[budgetBuckets + 1]int, passed int) {
	if passed == 0 {
		return
	}
	copy(buckets[:], buckets[passed:])
	clear(buckets[len(buckets)-passed:])
}
