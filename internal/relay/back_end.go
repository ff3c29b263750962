package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// backEnd is one start of one replica as this relay knows it. It lives as long as the list
// shows it; requests that still use it may outlive that.
type backEnd struct {
	serving.BackEnd
	// hash identifies the replica in what relays tell each other: not all of them know the identities of starts. startHash
	// identifies the start, among those that do.
	hash      uint64
	startHash uint64
	pool      connpool.Pool
	cache     *promptCache
	// signals are what this start of the back end has asked of this relay.
	signals *backpressure.Signals
	// startedAgain tells that another start has answered in its place: the list does not show that yet.
	startedAgain atomic.Bool
	// toldBorn is when the start began by the list, where the record was made before the list told it; 0 where it was not
	// told yet. It is used by the one goroutine that takes lists.
	toldBorn int64
	// changingSince is when the engine was marked last as changing its stage.
	changingSince time.Duration

	mutex sync.Mutex
	load  load
	// movers move the runs under way when the engine takes no more work.
	movers map[*runMover]bool
}

// newBackEnd returns the record of a listed back end; memory is an engine's, in tokens.
func newBackEnd(entry serving.BackEnd, memory int) *backEnd {
	return &backEnd{
		BackEnd: entry, hash: cell.HashEngine(entry.ExpectedID()), startHash: cell.HashEngine(entry.ID), signals: &backpressure.Signals{},
		cache: newPromptCache(placement.PrefixCacheCapacity(entry.Stage, memory)),
	}
}

// load is what the relay knows of a back end's work and health.
type load struct {
	// own is this relay's work at the back end.
	own placement.Work
	// told is the back end's own word of its running and waiting requests.
	told   int
	toldAt time.Duration
	// failures counts exchanges in a row that broke or stalled, refusals those in a row that
	// were refused for want of room; avoidUntil keeps new requests away while other back
	// ends can take them.
	failures   int
	refusals   int
	avoidUntil time.Duration
	// suspicions counts the pauses in a row after which other relays told of failures again.
	suspicions int
	// heardAt is when anything came from the back end last.
	heardAt time.Duration
}

// Health of a back end as learnt from exchanges.
const (
	// avoidFirst is how long a back end is avoided after a failure; it doubles with each
	// further one up to avoidLongest.
	avoidFirst   = 250 * time.Millisecond
	avoidLongest = 4 * time.Second
	// busyFirst is how long a back end that refused for want of room is avoided; it doubles
	// with each further refusal up to busyLongest.
	busyFirst   = 50 * time.Millisecond
	busyLongest = time.Second
	// suspectPause is how long a back end is avoided that failed for another relay; it doubles up to
	// avoidLongest while it fails again after each pause and nobody tells of a success.
	suspectPause = 400 * time.Millisecond
	// toldLifetime is how long a back end's own word of its load counts.
	toldLifetime = 500 * time.Millisecond
)

// begin notes work that is about to be sent.
func (b *backEnd) begin(begun placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.own = b.load.own.Plus(begun)
}

// end notes that work of begin has ended.
func (b *backEnd) end(ended placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.own = b.load.own.Minus(ended)
}

// succeeded notes that the back end answered.
func (b *backEnd) succeeded() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.failures, b.load.refusals, b.load.suspicions = 0, 0, 0
	b.load.avoidUntil = 0
}

// failed notes that an exchange broke or stalled, and avoids the back end for a while.
func (b *backEnd) failed(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = now + doubled(avoidFirst, b.load.failures, avoidLongest)
	b.load.failures++
}

// busy notes that the back end refused for want of room.
func (b *backEnd) busy(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, now+doubled(busyFirst, b.load.refusals, busyLongest))
	b.load.refusals++
}

// suspect notes that the back end failed for another relay. Failures that are told during a pause
// are of requests from before it.
func (b *backEnd) suspect(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now >= b.load.avoidUntil {
		b.load.suspicions++
	}
	b.load.avoidUntil = max(b.load.avoidUntil, now+doubled(suspectPause, max(b.load.suspicions-1, 0), avoidLongest))
}

// unsuspect notes that the back end has served another relay.
func (b *backEnd) unsuspect() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.suspicions = 0
}

// avoid keeps new requests away until a time.
func (b *backEnd) avoid(until time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, until)
}

// avoidedFor is how much longer new requests are kept away while other back ends can take them.
func (b *backEnd) avoidedFor(now time.Duration) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return max(b.load.avoidUntil-now, 0)
}

// heard notes that something came from the back end.
func (b *backEnd) heard(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.heardAt = now
}

// doubled returns the first pause doubled so many times, up to the longest.
func doubled(first time.Duration, times int, longest time.Duration) time.Duration {
	const mostDoublings = 16
	return min(first<<min(times, mostDoublings), longest)
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

// addMover registers a run that may be moved.
func (b *backEnd) addMover(mover *runMover) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.movers == nil {
		b.movers = map[*runMover]bool{}
	}
	b.movers[mover] = true
}

// removeMover forgets a run that has ended.
func (b *backEnd) removeMover(mover *runMover) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.movers, mover)
}

// moveRuns moves the runs under way to other engines.
func (b *backEnd) moveRuns() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for mover := range b.movers {
		go mover.move()
	}
}
