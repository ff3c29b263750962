// Package retrybudget bounds the sendings beyond the first of each request, of one relay's part of what the whole fleet
// of relays may make.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// buckets is how finely the window of a retry budget is divided.
	buckets = 10
	// SlackShare is the part of the fleet's slack that relays share out; the rest
	// covers restarts, which forget what was spent, and counts of relays that lag.
	SlackShare = 0.7
	// ratioShare is likewise the part of the ratio that is used.
	ratioShare = 0.85
	// relaysUnknown stands for the number of relays until a controller tells it.
	relaysUnknown = 64
)

// Budget bounds how many sendings beyond the first of each request this relay makes
// to each service within any window: a ratio of its own requests, and its share of a slack
// that the whole fleet has. Since every relay keeps to its part, the fleet keeps to the
// whole without asking anyone. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64
	window   time.Duration
	slack    float64
	relays   int
	services map[string]*serviceWindow
}

// serviceWindow counts over one more bucket than the window has, so that every window that
// ends now lies within.
type serviceWindow struct {
	firstBucket int64
	requests    [buckets + 1]int
	extras      [buckets + 1]int
}

// New returns a budget of a ratio and a slack within any window, for a fleet whose size is not known yet.
func New(ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{ratio: ratio, window: window, slack: slack, relays: relaysUnknown, services: map[string]*serviceWindow{}}
}

// SetBounds changes the bounds. A window of another length begins empty.
func (b *Budget) SetBounds(ratio float64, window time.Duration, slack float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if window != b.window {
		b.services = map[string]*serviceWindow{}
	}
	b.ratio, b.window, b.slack = ratio, window, slack
}

// SetRelays tells how many relays share the slack.
func (b *Budget) SetRelays(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if count > 0 {
		b.relays = count
	}
}

// NoteRequest notes a request for the service.
func (b *Budget) NoteRequest(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	window.requests[len(window.requests)-1]++
}

// Take reports whether one more sending may be made, and counts it.
func (b *Budget) Take(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	if !b.hasRoom(window) {
		return false
	}
	window.extras[len(window.extras)-1]++
	return true
}

// Allows reports whether Take would succeed.
func (b *Budget) Allows(now time.Duration, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.hasRoom(b.advance(now, service))
}

// Least is how many sendings may be made to the service that has fewest left.
func (b *Budget) Least(now time.Duration) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	least := b.left(&serviceWindow{})
	for service := range b.services {
		least = min(least, b.left(b.advance(now, service)))
	}
	return least
}

// hasRoom reports whether one more sending may be made.
func (b *Budget) hasRoom(window *serviceWindow) bool { return b.left(window) >= 1 }

// left is what the requests in the window allow, its oldest bucket not counted, less what was
// spent in it, its oldest bucket counted whole.
func (b *Budget) left(window *serviceWindow) float64 {
	requests, extras := 0, 0
	for index := range window.extras {
		extras += window.extras[index]
		if index > 0 {
			requests += window.requests[index]
		}
	}
	allowed := b.ratio*ratioShare*float64(requests) + b.slack*SlackShare/float64(b.relays)
	return allowed - float64(extras)
}

// advance returns the service's window with its last bucket at now.
func (b *Budget) advance(now time.Duration, service string) *serviceWindow {
	window := b.services[service]
	first := int64(now/(b.window/buckets)) - buckets
	if window == nil {
		window = &serviceWindow{firstBucket: first}
		b.services[service] = window
	}
	passed := min(max(first-window.firstBucket, 0), int64(len(window.extras)))
	window.firstBucket = max(window.firstBucket, first)
	shift(&window.requests, int(passed))
	shift(&window.extras, int(passed))
	return window
}

// shift drops the oldest buckets.
func shift(counts *[buckets + 1]int, passed int) {
	if passed == 0 {
		return
	}
	copy(counts[:], counts[passed:])
	clear(counts[len(counts)-passed:])
}
