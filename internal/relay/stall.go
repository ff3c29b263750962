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
)

// stallLimit returns the silence after which the back end of a request counts as failed.
func stallLimit(route *serving.Route) time.Duration {
	if route.Kind == serving.KindStream {
		return max(minStreamStall, stallTargetFactor*route.TargetGap)
	}
	return max(minPlainStall, stallTargetFactor*route.Target)
}

// stallWatch detects a back end that stalls during one answer. The back end counts as failed when nothing arrived from it
// for the limit, neither on this answer nor on any other; the answer is aborted only when the request may run elsewhere. A
// back end that sends other answers is slow but alive: aborting would only move its load.
type stallWatch struct {
	exchanger  *exchanger
	connection *connpool.Connection
	backEnd    *backEnd
	mayAbort   bool
	limit      time.Duration
	timer      *time.Timer

	mutex sync.Mutex
	// stopped is true if the connection may carry another request now.
	stopped bool
}

// watchStall starts to watch for a silence that lasts for the limit. mayAbort is true if the answer may then be aborted.
func (e *exchanger) watchStall(connection *connpool.Connection, backEnd *backEnd, limit time.Duration, mayAbort bool) *stallWatch {
	mayAbort = mayAbort && e.mechanisms.IsEnabled(mechanism.StallWatch)
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
	if !w.exchanger.path.pathTo(w.backEnd.Service).IsLost { // otherwise the back end may be sound
		w.exchanger.recordFailure(w.backEnd)
	}
	if w.mayAbort {
		_ = w.connection.SetDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
	}
}

// recordReceived records that bytes arrived, and restarts the timer.
func (w *stallWatch) recordReceived() {
	w.backEnd.recordReceived(w.exchanger.clock.now())
	w.timer.Reset(w.limit)
}

// stop ends the watch. It waits for a check in progress.
func (w *stallWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
