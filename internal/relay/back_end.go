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
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// backEnd is this relay's record of one incarnation of a replica. It exists while the list contains the incarnation;
// requests in flight may use it longer.
type backEnd struct {
	serving.BackEnd
	// hash identifies the replica in messages between relays, since some relays do not know the identities of incarnations.
	// incarnationHash identifies the incarnation among the relays that do.
	hash            uint64
	incarnationHash uint64
	// version is that of the back end's software.
	version streamorigin.Version
	pool    connpool.Pool
	cache   *prefixCache
	// signals holds the signals of this incarnation: its backoff, its limit and whether it is leaving.
	signals *backpressure.Signals
	// isRelay is true for the record of another relay, to which requests are forwarded.
	isRelay bool
	// isSuperseded is true if a newer incarnation of the replica has answered, which the list does not show yet.
	isSuperseded atomic.Bool
	// listedStartedAtMs is the incarnation's start time in Unix milliseconds, when the list sent it only after this record
	// was created; 0 otherwise. It is used only by the goroutine that applies lists.
	listedStartedAtMs int64
	// changingSince is the time at which the engine was last marked as changing its stage.
	changingSince time.Duration

	mutex sync.Mutex
	load  load
	// movers migrate the running streams when the engine accepts no more work.
	movers map[*runMover]bool
}

// newBackEnd returns the record of a listed back end; cacheSize is the size of an engine's KV cache in tokens.
func newBackEnd(entry serving.BackEnd, cacheSize int) *backEnd {
	return &backEnd{
		BackEnd: entry, hash: cell.HashEngine(entry.ExpectedID()), incarnationHash: cell.HashEngine(entry.ID), signals: &backpressure.Signals{},
		version: streamorigin.VersionOf(entry.Software),
		cache:   newPrefixCache(placement.PrefixCacheCapacity(entry.Stage, cacheSize)),
	}
}

// load is what this relay knows about a back end's work and health.
type load struct {
	// ownWork is this relay's work at the back end.
	ownWork placement.Work
	// reportedRequests is the number of running and waiting requests that the back end reported at reportedAt.
	reportedRequests int
	reportedAt       time.Duration
	// failures counts consecutive exchanges that broke or stalled; refusals counts consecutive refusals for lack of
	// capacity. Until avoidUntil, new requests go to other back ends where possible.
	failures   int
	refusals   int
	avoidUntil time.Duration
	// peerFailures counts the failures that other relays reported since the last success, at most one per backoff.
	peerFailures int
	// lastReceivedAt is when the last bytes arrived from the back end.
	lastReceivedAt time.Duration
	// awaiting counts the exchanges that wait for bytes from the back end; awaitingSince is when the first of them began.
	awaiting      int
	awaitingSince time.Duration
	// step is the shortest decode step, and relativeTimePercent the last relative time that the back end reported, since the last
	// notice; 0 for none.
	step                time.Duration
	relativeTimePercent int
}

// Backoff after failed exchanges, and lifetime of reported loads.
const (
	// minFailureBackoff is how long a back end is avoided after a failure; it doubles with each consecutive failure up to
	// maxFailureBackoff.
	minFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// minBusyBackoff is how long a back end is avoided after it refused for lack of capacity; it doubles with each
	// consecutive refusal up to maxBusyBackoff.
	minBusyBackoff = 50 * time.Millisecond
	maxBusyBackoff = time.Second
	// peerFailureBackoff is how long a back end is avoided after it failed for another relay. It doubles up to
	// maxFailureBackoff while the back end fails again after each period and no relay reports a success.
	peerFailureBackoff = 400 * time.Millisecond
	// reportedLoadLifetime is how long a back end's report of its load is used.
	reportedLoadLifetime = 500 * time.Millisecond
)

// addWork adds work that is about to be sent to this relay's work at the back end.
func (b *backEnd) addWork(work placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.ownWork = b.load.ownWork.Plus(work)
}

// removeWork removes work that has ended from this relay's work at the back end.
func (b *backEnd) removeWork(work placement.Work) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.ownWork = b.load.ownWork.Minus(work)
}

// recordSuccess resets the failure counts after the back end has answered.
func (b *backEnd) recordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.failures, b.load.refusals, b.load.peerFailures = 0, 0, 0
	b.load.avoidUntil = 0
}

// recordFailure records an exchange that broke or stalled, and starts the failure backoff.
func (b *backEnd) recordFailure(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = now + exponentialBackoff(minFailureBackoff, b.load.failures, maxFailureBackoff)
	b.load.failures++
}

// clearFailures withdraws the failures that this relay has recorded.
func (b *backEnd) clearFailures() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.failures, b.load.avoidUntil = 0, 0
}

// recordBusy records a refusal for lack of capacity, and starts the busy backoff.
func (b *backEnd) recordBusy(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, now+exponentialBackoff(minBusyBackoff, b.load.refusals, maxBusyBackoff))
	b.load.refusals++
}

// recordPeerFailure records that the back end failed for another relay. Failures reported during a backoff belong to
// requests that were sent before it, so they do not increase the count.
func (b *backEnd) recordPeerFailure(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now >= b.load.avoidUntil {
		b.load.peerFailures++
	}
	b.load.avoidUntil = max(b.load.avoidUntil, now+exponentialBackoff(peerFailureBackoff, max(b.load.peerFailures-1, 0), maxFailureBackoff))
}

// clearPeerFailures resets the count of failures that other relays reported, after the back end has served another relay.
func (b *backEnd) clearPeerFailures() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.peerFailures = 0
}

// avoidUntil keeps new requests away from the back end until the given time, if other back ends can serve them.
func (b *backEnd) avoidUntil(until time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.avoidUntil = max(b.load.avoidUntil, until)
}

// avoidanceLeft returns how much longer new requests are kept away from the back end if other back ends can serve them.
func (b *backEnd) avoidanceLeft(now time.Duration) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return max(b.load.avoidUntil-now, 0)
}

// recordReceived records that bytes arrived from the back end.
func (b *backEnd) recordReceived(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.lastReceivedAt = now
}

// exponentialBackoff returns the first delay, doubled the given number of times, but at most the limit.
func exponentialBackoff(first time.Duration, times int, limit time.Duration) time.Duration {
	const maxDoublings = 16
	return min(first<<min(times, maxDoublings), limit)
}

// recordReportedLoad records the load that the back end reported.
func (b *backEnd) recordReportedLoad(now time.Duration, running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.reportedRequests = running + waiting
	b.load.reportedAt = now
}

// recordRelativeTime records a reported relative time, in percent, for the next notice.
func (b *backEnd) recordRelativeTime(percent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.load.relativeTimePercent = percent
}

// recordStep records an observed decode step for the next notice.
func (b *backEnd) recordStep(step time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.load.step == 0 || step < b.load.step {
		b.load.step = step
	}
}

// takeSpeeds returns and clears the observations for the next notice.
func (b *backEnd) takeSpeeds() (step time.Duration, relativeTimePercent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	step, relativeTimePercent = b.load.step, b.load.relativeTimePercent
	b.load.step, b.load.relativeTimePercent = 0, 0
	return step, relativeTimePercent
}

// currentLoad returns the load, without the back end's report if that has expired.
func (b *backEnd) currentLoad(now time.Duration) load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current := b.load
	if now-current.reportedAt > reportedLoadLifetime {
		current.reportedRequests = 0
	}
	return current
}

// addMover registers a run that may be migrated.
func (b *backEnd) addMover(mover *runMover) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.movers == nil {
		b.movers = map[*runMover]bool{}
	}
	b.movers[mover] = true
}

// removeMover removes a run that has ended.
func (b *backEnd) removeMover(mover *runMover) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.movers, mover)
}

// migrateRuns starts the migration of all running streams to other engines. It does not wait until the migrations end.
func (b *backEnd) migrateRuns() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for mover := range b.movers {
		go mover.migrate()
	}
}
