package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// minStreamStall is the minimum silence of a stream after which its engine counts as failed.
	minStreamStall = 900 * time.Millisecond
	// minPlainStall is the minimum silence after which a back end that answers whole counts as failed.
	minPlainStall = 250 * time.Millisecond
	// stallTargetFactor is the minimum silence as a multiple of the route's target.
	stallTargetFactor = 2
	// prefillStallSlack and prefillStallFactor bound the silence during a prefill: prefillStallFactor times the expected
	// duration plus prefillStallSlack.
	prefillStallSlack  = 600 * time.Millisecond
	prefillStallFactor = 2.5
	// replacementChecksPerLimit is how often per limit a watch checks again while the silence lasts.
	replacementChecksPerLimit = 2
)

// stallLimit returns the silence after which the back end of a request counts as failed.
func stallLimit(route *serving.Route) time.Duration {
	if route.Kind == serving.KindStream {
		return max(minStreamStall, stallTargetFactor*route.TargetGap)
	}
	return max(minPlainStall, stallTargetFactor*route.Target)
}

// reserveReplacement reports whether a silent exchange must be ended now, since another back end answers its request. Otherwise
// it may begin to ask one. It must not block: it calls recheck when the result has changed.
type reserveReplacement func(recheck func()) bool

// stallWatch detects a back end that stalls during one answer. The back end counts as failed when nothing arrived from it
// for the limit, neither on this answer nor on any other; new requests then use no connection from before the silence. The
// answer is aborted only when another back end answers in its place: a silent back end may go on, and an answer that nothing
// replaces would be lost. A back end that sends other answers is slow but alive: replacing it would only move its load.
type stallWatch struct {
	exchanger  *exchanger
	connection *connpool.Connection
	backEnd    *backEnd
	// reserve is called during a silence; nil if the answer must not be aborted.
	reserve   reserveReplacement
	limit     time.Duration
	startedAt time.Duration
	timer     *time.Timer

	mutex sync.Mutex
	// isRecorded is true if the silence since recordedSince has been recorded as a failure of the back end.
	isRecorded    bool
	recordedSince time.Duration
	// stopped is true if the connection may carry another request now.
	stopped bool
}

// watchStall starts to watch for a silence that lasts for the limit. reserve is nil if the answer must not be aborted.
func (e *exchanger) watchStall(connection *connpool.Connection, backEnd *backEnd, limit time.Duration, reserve reserveReplacement) *stallWatch {
	if !e.mechanisms.IsEnabled(mechanism.StallWatch) {
		reserve = nil
	}
	watch := &stallWatch{exchanger: e, connection: connection, backEnd: backEnd, reserve: reserve, limit: limit, startedAt: e.clock.now()}
	backEnd.beginAwaiting(watch.startedAt)
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(limit, watch.check)
	return watch
}

// check runs when the answer has been silent for the limit, and again while the silence lasts and no other back end answers.
// Meanwhile new requests go to other back ends where possible.
func (w *stallWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	now := w.exchanger.clock.now()
	lastReceivedAt := w.backEnd.currentLoad(now).lastReceivedAt
	if silence := now - lastReceivedAt; silence < w.limit {
		w.timer.Reset(w.limit - silence)
		return
	}
	if w.connection.HasUnread() { // not read because the client reads slowly, or because this process stood still
		w.timer.Reset(w.limit)
		return
	}
	w.backEnd.pool.Suspect(max(lastReceivedAt, w.startedAt))
	w.recordSilence(lastReceivedAt)
	if w.reserve != nil && w.reserve(w.recheck) {
		w.abort()
		return
	}
	next := w.limit / replacementChecksPerLimit
	if !w.exchanger.path.pathTo(w.backEnd.Service).IsLost {
		w.backEnd.avoidUntil(now + next + minFailureBackoff) // beyond the next check
	}
	w.timer.Reset(next)
}

// recheck aborts the answer if it has been replaced, unless the watch has stopped.
func (w *stallWatch) recheck() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped && w.reserve(w.recheck) {
		w.abort()
	}
}

// abort ends the read of the answer.
func (w *stallWatch) abort() {
	w.timer.Stop()
	_ = w.connection.SetDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
}

// recordSilence records the silence since the given time as a failure of the back end, once.
func (w *stallWatch) recordSilence(since time.Duration) {
	if w.isRecorded && w.recordedSince == since {
		return
	}
	w.isRecorded, w.recordedSince = true, since
	if !w.exchanger.path.pathTo(w.backEnd.Service).IsLost { // otherwise the back end may be sound
		w.exchanger.recordFailure(w.backEnd)
	}
}

// recordReceived records that bytes arrived, and restarts the timer. It waits for a check in progress, so that no replacement
// is begun once it has returned.
func (w *stallWatch) recordReceived() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.backEnd.recordReceived(w.exchanger.clock.now())
	w.timer.Reset(w.limit)
}

// stop ends the watch. It waits for a check in progress.
func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.backEnd.endAwaiting()
	}
	w.stopped = true
	w.timer.Stop()
}
