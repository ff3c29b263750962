package relay

import (
	"sync/atomic"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// streamStall is the least silence of a stream after which its engine counts as failed.
	streamStall = 900 * time.Millisecond
	// plainStall is likewise for a back end that answers whole.
	plainStall = 250 * time.Millisecond
	// stallTargets is how many targets of its route a silence must last at least.
	stallTargets = 2
	// prefillStall is how much longer than expected the reading of a prompt may take, beside
	// prefillStallShare times the expectation.
	prefillStall      = 600 * time.Millisecond
	prefillStallShare = 2.5
)

// stallLimit is the silence after which the back end of a request counts as failed.
func stallLimit(route *serving.Route) time.Duration {
	if route.Kind == serving.KindStream {
		return max(streamStall, stallTargets*route.TargetGap)
	}
	return max(plainStall, stallTargets*route.Target)
}

// stallWatch looks for the silence of a back end during one answer. When it comes, the back
// end counts as failed; the answer is broken off only where the request may run elsewhere.
type stallWatch struct {
	timer *time.Timer
	limit time.Duration
	// stalled tells that the answer was broken off.
	stalled atomic.Bool
}

// watchStall begins to look. mayBreak says whether the answer may be broken off.
func (e *exchanger) watchStall(connection *upstreamConnection, backEnd *backEnd, limit time.Duration, mayBreak bool) *stallWatch {
	watch := &stallWatch{limit: limit}
	watch.timer = time.AfterFunc(limit, func() {
		e.noteFailure(backEnd)
		if mayBreak {
			watch.stalled.Store(true)
			_ = connection.SetDeadline(time.Unix(1, 0)) // a closed connection fails by itself
		}
	})
	return watch
}

// heard notes that something has come.
func (w *stallWatch) heard() { w.timer.Reset(w.limit) }

func (w *stallWatch) stop() { w.timer.Stop() }
