package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// pendingNotice is what is to be told of one back end, beside its work.
type pendingNotice struct {
	// started are the parts that the engine has begun to started, cached those that it has started and
	// keeps for any request, dropped those whose reading was given up.
	started, cached []placement.PrefixBlock
	abandoned       []placement.BlockHash
	// queryNumbers are the numbers of questions whose assignments have begun.
	queryNumbers []uint64
	// timePerToken is the newest observation of the time per token, 0 for none.
	timePerToken time.Duration
	// failed tells that exchanges with the back end broke or stalled.
	failed bool
}

// queueWork tells that the work at an engine has changed.
func (n *loadNotices) queueWork(engine *backEnd) { n.queue(engine, pendingNotice{}) }

// queueStarted tells what an engine has begun to read, and the number of the question that was
// answered with it, 0 for none.
func (n *loadNotices) queueStarted(engine *backEnd, started []placement.PrefixBlock, queryNumber uint64) {
	update := pendingNotice{started: started}
	if queryNumber != 0 {
		update.queryNumbers = []uint64{queryNumber}
	}
	n.queue(engine, update)
}

// queueCached tells that an engine keeps parts for any request.
func (n *loadNotices) queueCached(engine *backEnd, cached []placement.PrefixBlock) {
	n.queue(engine, pendingNotice{cached: cached})
}

// queueAbandoned tells that the reading of parts was given up.
func (n *loadNotices) queueAbandoned(engine *backEnd, abandoned []placement.BlockHash) {
	n.queue(engine, pendingNotice{abandoned: abandoned})
}

// queuePace tells the time per token that an engine was seen to take.
func (n *loadNotices) queuePace(engine *backEnd, timePerToken time.Duration) {
	if timePerToken > 0 {
		n.queue(engine, pendingNotice{timePerToken: timePerToken})
	}
}

// queue joins what is to be told with what waits of the same back end.
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

// queueFailure tells that exchanges with a back end broke or stalled.
func (n *loadNotices) queueFailure(backEnd *backEnd) { n.queue(backEnd, pendingNotice{failed: true}) }
