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
	hash            uint64
	incarnationHash uint64
	pool            connpool.Pool
	cache           *prefixCache
	// signals are what this start of the back end has asked of this relay.
	signals *backpressure.Signals
	// isSuperseded tells that another start has answered in its place: the list does not show that yet.
	isSuperseded atomic.Bool
	// listedBorn is when the start began by the list, where the record was made before the list told it; 0 where it was not
	// told yet. It is used by the one goroutine that takes lists.
	listedBorn int64
	// changingSince is when the engine was marked last as changing its stage.
	changingSince time.Duration

	mutex sync.Mutex
	load  load
	// movers move the runs under way when the engine takes no more work.
	movers map[*runMover]bool
}

// newBackEnd returns the record of a listed back end; memory is an engine's, in tokens.
func newBackEnd(entry serving.BackEnd, cacheSize int) *backEnd {
	return &backEnd{
		BackEnd: entry, hash: cell.HashEngine(entry.ExpectedID()), incarnationHash: cell.HashEngine(entry.ID), signals: &backpressure.Signals{},
		cache: newPrefixCache(placement.PrefixCacheCapacity(entry.Stage, cacheSize)),
	}
}

// load is what the relay knows of a back end's work and health.
type load struct {
	// ownWork is this relay's work at the back end.
	ownWork placement.Work
	// reportedRequests is the back end's own word of its running and waiting requests.
	reportedRequests int
	reportedAt       time.Duration
	// failures counts exchanges in a row that broke or stalled, refusals those in a row that
	// were refused for want of room; avoidUntil keeps new requests away while other back
	// ends can take them.
	failures   int
	refusals   int
	avoidUntil time.Duration
	// peerFailures counts the pauses in a row after which other relays told of failures again.
	peerFailures int
	// lastReceivedAt is when anything came from the back end last.
	lastReceivedAt time.Duration
}

// Health of a back end as learnt from exchanges.
const (
	// failureBackoffMin is how long a back end is avoided after a failure; it doubles with each
	// further one up to avoidLongest.
	failureBackoffMin = 250 * time.Millisecond
	failureBackoffMax = 4 * time.Second
	// busyBackoffMin is how long a back end that refused for want of room is avoided; it doubles
	// with each further refusal up to busyLongest.
	busyBackoffMin = 50 * time.Millisecond
	busyBackoffMax = time.Second
	// peerFailureBackoff is how long a back end is avoided that failed for another relay; it doubles up to
	// avoidLongest while it fails again after each pause and nobody tells of a success.
	peerFailureBackoff = 400 * time.Millisecond
	// reportedLoadLifetime is how long a back end's own word of its load counts.
	reportedLoadLifetime = 500 * time.Millisecond
)

// addWork notes work that is about to be sent.
func (b *backEnd) addWork(work placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.ownWork = b.load.ownWork.Plus(work)
}

// removeWork notes that work of begin has ended.
func (b *backEnd) removeWork(work placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.ownWork = b.load.ownWork.Minus(work)
}

// recordSuccess notes that the back end answered.
func (b *backEnd) recordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.failures, b.load.refusals, b.load.peerFailures = 0, 0, 0
	b.load.avoidUntil = 0
}

// recordFailure notes that an exchange broke or stalled, and avoids the back end for a while.
func (b *backEnd) recordFailure(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = now + exponentialBackoff(failureBackoffMin, b.load.failures, failureBackoffMax)
	b.load.failures++
}

// recordBusy notes that the back end refused for want of room.
func (b *backEnd) recordBusy(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, now+exponentialBackoff(busyBackoffMin, b.load.refusals, busyBackoffMax))
	b.load.refusals++
}

// recordPeerFailure notes that the back end failed for another relay. Failures that are told during a pause
// are of requests from before it.
func (b *backEnd) recordPeerFailure(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now >= b.load.avoidUntil {
		b.load.peerFailures++
	}
	b.load.avoidUntil = max(b.load.avoidUntil, now+exponentialBackoff(peerFailureBackoff, max(b.load.peerFailures-1, 0), failureBackoffMax))
}

// clearPeerFailures notes that the back end has served another relay.
func (b *backEnd) clearPeerFailures() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.peerFailures = 0
}

// avoidUntil keeps new requests away until a time.
func (b *backEnd) avoidUntil(until time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, until)
}

// avoidanceLeft is how much longer new requests are kept away while other back ends can take them.
func (b *backEnd) avoidanceLeft(now time.Duration) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return max(b.load.avoidUntil-now, 0)
}

// recordReceived notes that something came from the back end.
func (b *backEnd) recordReceived(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.lastReceivedAt = now
}

// exponentialBackoff returns the first pause exponentialBackoff so many times, up to the longest.
func exponentialBackoff(first time.Duration, times int, maximum time.Duration) time.Duration {
	const maxDoublings = 16
	return min(first<<min(times, maxDoublings), maximum)
}

// recordReportedLoad notes the back end's own word of its load.
func (b *backEnd) recordReportedLoad(now time.Duration, running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.reportedRequests = running + waiting
	b.load.reportedAt = now
}

// currentLoad returns the load as it counts now.
func (b *backEnd) currentLoad(now time.Duration) load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current := b.load
	if now-current.reportedAt > reportedLoadLifetime {
		current.reportedRequests = 0
	}
	return current
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

// migrateRuns moves the runs under way to other engines.
func (b *backEnd) migrateRuns() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for mover := range b.movers {
		go mover.migrate()
	}
}
