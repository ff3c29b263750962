package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// backEnd is one start of one replica as this relay knows it. It lives as long as the list
// shows it; requests that still use it may outlive that.
type backEnd struct {
	serving.BackEnd
	pool pool

	mutex sync.Mutex
	load  load
}

// load is what the relay knows of a back end's work and health.
type load struct {
	// running counts this relay's requests at the back end, promptTokens their prompts
	// that it still has to read, as far as is known.
	running      int
	promptTokens int
	// told is the back end's own word of its running and waiting requests.
	told   int
	toldAt time.Duration
	// failures counts exchanges in a row that broke or timed out; avoidUntil keeps new
	// requests away while others can take them.
	failures   int
	avoidUntil time.Duration
}

// Health of a back end as learnt from exchanges.
const (
	// avoidFirst is how long a back end is avoided after a failure; it doubles with each
	// further one up to avoidLongest.
	avoidFirst   = 250 * time.Millisecond
	avoidLongest = 4 * time.Second
	// toldLifetime is how long a back end's own word of its load counts.
	toldLifetime = 500 * time.Millisecond
)

// begin notes a request that is about to be sent.
func (b *backEnd) begin(promptTokens int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.running++
	b.load.promptTokens += promptTokens
}

// end notes that a request of begin has ended.
func (b *backEnd) end(promptTokens int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.running--
	b.load.promptTokens -= promptTokens
}

// succeeded notes that the back end answered.
func (b *backEnd) succeeded() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.failures = 0
	b.load.avoidUntil = 0
}

// failed notes that an exchange broke, and avoids the back end for a while.
func (b *backEnd) failed(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pause := avoidFirst << min(b.load.failures, 8)
	b.load.failures++
	b.load.avoidUntil = now + min(pause, avoidLongest)
}

// busy notes that the back end refused for want of room.
func (b *backEnd) busy(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, now+avoidFirst/5)
}

// tell notes the back end's own word of its load.
func (b *backEnd) tell(now time.Duration, running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.told = running + waiting
	b.load.toldAt = now
}

// look returns the load as it counts now.
func (b *backEnd) look(now time.Duration) load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	seen := b.load
	if now-seen.toldAt > toldLifetime {
		seen.told = 0
	}
	return seen
}
