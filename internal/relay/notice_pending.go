package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// pendingNotice holds the changes at one back end for the next notice, which also contains this relay's work at it.
type pendingNotice struct {
	// started are the blocks whose prefill the engine has begun, cached those that it has cached for any request, and
	// abandoned those whose prefill was abandoned.
	started, cached []placement.PrefixBlock
	abandoned       []placement.BlockHash
	// queryNumbers are the numbers of placement queries whose assigned work has begun.
	queryNumbers []uint64
	// timePerToken is the newest measured prefill time per token; 0 for none.
	timePerToken time.Duration
	// failed is true if exchanges with the back end broke or stalled.
	failed bool
}

// queueWork queues a notice about changed work at an engine.
func (n *loadNotices) queueWork(engine *backEnd) { n.queue(engine, pendingNotice{}) }

// queueStarted queues the blocks whose prefill an engine begins. queryNumber is the number of the placement query whose
// answer selected the engine; 0 for none.
func (n *loadNotices) queueStarted(engine *backEnd, started []placement.PrefixBlock, queryNumber uint64) {
	update := pendingNotice{started: started}
	if queryNumber != 0 {
		update.queryNumbers = []uint64{queryNumber}
	}
	n.queue(engine, update)
}

// queueCached queues blocks that an engine has cached for any request.
func (n *loadNotices) queueCached(engine *backEnd, cached []placement.PrefixBlock) {
	n.queue(engine, pendingNotice{cached: cached})
}

// queueAbandoned queues blocks whose prefill was abandoned.
func (n *loadNotices) queueAbandoned(engine *backEnd, abandoned []placement.BlockHash) {
	n.queue(engine, pendingNotice{abandoned: abandoned})
}

// queuePrefillSpeed queues an engine's measured prefill time per token.
func (n *loadNotices) queuePrefillSpeed(engine *backEnd, timePerToken time.Duration) {
	if timePerToken > 0 {
		n.queue(engine, pendingNotice{timePerToken: timePerToken})
	}
}

// queue merges changes into the queued ones of the same back end.
func (n *loadNotices) queue(engine *backEnd, update pendingNotice) {
	n.mutex.Lock()
	queued := n.pending[engine]
	queued.started = append(queued.started, update.started...)
	queued.cached = append(queued.cached, update.cached...)
	queued.abandoned = append(queued.abandoned, update.abandoned...)
	queued.queryNumbers = append(queued.queryNumbers, update.queryNumbers...)
	if update.timePerToken > 0 {
		queued.timePerToken = update.timePerToken
	}
	queued.failed = queued.failed || update.failed
	n.pending[engine] = queued
	n.mutex.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// queueFailure queues the failure of an exchange with a back end.
func (n *loadNotices) queueFailure(backEnd *backEnd) { n.queue(backEnd, pendingNotice{failed: true}) }
