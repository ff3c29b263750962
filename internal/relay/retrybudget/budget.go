// Package retrybudget bounds the retries of one relay, so that all relays together stay within the fleet's retry budget.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets into which the window of a retry budget is divided.
	bucketCount = 10
	// SlackShare is the fraction of the fleet's slack that is divided among the relays. The remainder covers restarted
	// relays, which lose their counts, and relays that divide by an outdated number of relays.
	SlackShare = 0.7
	// ratioShare is the fraction of the ratio that is used, for the same reasons.
	ratioShare = 0.85
	// assumedRelays is the number of relays to assume until a controller sends the actual number.
	assumedRelays = 64
)

// Budget bounds how many retries this relay sends to each service within any window: a ratio of its own requests, plus its
// share of a slack for the whole fleet. When every relay stays within its share, the fleet stays within the budget without
// coordination. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64
	window   time.Duration
	slack    float64
	relays   int
	services map[string]*serviceWindow
}

// serviceWindow holds the counts of one service. It has one bucket more than the window, so that it covers every window
// that ends now.
type serviceWindow struct {
	firstBucket int64
	requests    [bucketCount + 1]int
	retries     [bucketCount + 1]int
}

// New returns a budget with a ratio and a slack within any window, for a fleet of unknown size.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{ratio: ratio, window: window, slack: slack, relays: assumedRelays, services: map[string]*serviceWindow{}}
}

// SetBounds changes the bounds. All counts are reset when the window's length changes.
func (b *Budget) SetBounds(ratio float64, window time.Duration, slack float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if window != b.window {
		b.services = map[string]*serviceWindow{}
	}
	b.ratio, b.window, b.slack = ratio, window, slack
}

// SetRelays sets the number of relays that share the slack; it ignores 0.
func (b *Budget) SetRelays(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if count > 0 {
		b.relays = count
	}
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	window.requests[len(window.requests)-1]++
}

// TrySpend reports whether one more retry may be sent, and counts it if so.
func (b *Budget) TrySpend(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	if !b.canSpend(window) {
		return false
	}
	window.retries[len(window.retries)-1]++
	return true
}

// CanSpend reports whether TrySpend would succeed.
func (b *Budget) CanSpend(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.canSpend(b.advance(now, service))
}

// MinLeft returns how many retries are left for the service that has the fewest left.
func (b *Budget) MinLeft(now time.Duration) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fewest := b.left(&serviceWindow{})
	for service := range b.services {
		fewest = min(fewest, b.left(b.advance(now, service)))
	}
	return fewest
}

// canSpend reports whether one more retry may be sent.
func (b *Budget) canSpend(window *serviceWindow) bool { return b.left(window) >= 1 }

// left returns the allowed retries minus the retries in the window. To stay within the bounds of any window, requests of
// the oldest bucket are excluded and retries of the oldest bucket are included.
func (b *Budget) left(window *serviceWindow) float64 {
	requests, retries := 0, 0
	for index := range window.retries {
		retries += window.retries[index]
		if index > 0 {
			requests += window.requests[index]
		}
	}
	allowed := b.ratio*ratioShare*float64(requests) + b.slack*SlackShare/float64(b.relays)
	return allowed - float64(retries)
}

// advance returns the service's window, shifted so that its last bucket contains now.
func (b *Budget) advance(now time.Duration, service string) *serviceWindow {
	window := b.services[service]
	first := int64(now/(b.window/bucketCount)) - bucketCount
	if window == nil {
		window = &serviceWindow{firstBucket: first}
		b.services[service] = window
	}
	passed := min(max(first-window.firstBucket, 0), int64(len(window.retries)))
	window.firstBucket = max(window.firstBucket, first)
	shift(&window.requests, int(passed))
	shift(&window.retries, int(passed))
	return window
}

// shift removes the oldest buckets and appends empty ones.
func shift(counts *[bucketCount + 1]int, passed int) {
	if passed == 0 {
		return
	}
	copy(counts[:], counts[passed:])
	clear(counts[len(counts)-passed:])
}
