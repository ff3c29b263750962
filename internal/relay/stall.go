package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// minStreamStall is the least silence of a stream after which its engine counts as failed.
	minStreamStall = 900 * time.Millisecond
	// minPlainStall is likewise for a back end that answers whole.
	minPlainStall = 250 * time.Millisecond
	// stallTargetFactor is how many targets of its route a silence must last at least.
	stallTargetFactor = 2
	// prefillStallSlack is how much longer than expected the reading of a prompt may take, beside
	// prefillStallShare times the expectation.
	prefillStallSlack  = 600 * time.Millisecond
	prefillStallFactor = 2.5
)

// stallLimit is the silence after which the back end of a request counts as failed.
func stallLimit(route *serving.Route) time.Duration {
	if route.Kind == serving.KindStream {
		return max(minStreamStall, stallTargetFactor*route.TargetGap)
	}
	return max(minPlainStall, stallTargetFactor*route.Target)
}

// stallWatch looks for the silence of a back end during one answer. When nothing has come
// from the back end for that long, on this answer or any other, it counts as failed; the
// answer is broken off only where the request may run elsewhere. A back end that sends
// other answers is slow and not gone: leaving it would only move its load.
type stallWatch struct {
	exchanger  *exchanger
	connection *connpool.Connection
	backEnd    *backEnd
	mayAbort   bool
	limit      time.Duration
	timer      *time.Timer

	mutex sync.Mutex
	// stopped tells that the connection may be another request's.
	stopped bool
}

// watchStall begins to look. mayBreak says whether the answer may be broken off.
func (e *exchanger) watchStall(connection *connpool.Connection, backEnd *backEnd, limit time.Duration, mayAbort bool) *stallWatch {
	mayAbort = mayAbort && e.without.IsEnabled(mechanism.StallWatch)
	watch := &stallWatch{exchanger: e, connection: connection, backEnd: backEnd, mayAbort: mayAbort, limit: limit}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(limit, watch.check)
	return watch
}

// check runs when the answer has been silent for the limit.
func (w *stallWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	silence := w.exchanger.clock.now() - w.backEnd.currentLoad(w.exchanger.clock.now()).lastReceivedAt
	if silence < w.limit {
		w.timer.Reset(w.limit - silence)
		return
	}
	w.exchanger.recordFailure(w.backEnd)
	if w.mayAbort {
		_ = w.connection.SetDeadline(time.Unix(1, 0)) // a closed connection fails by itself
	}
}

// recordReceived notes that something has come.
func (w *stallWatch) recordReceived() {
	w.backEnd.recordReceived(w.exchanger.clock.now())
	w.timer.Reset(w.limit)
}

// stop ends the look; it waits for one that is under way.
func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
