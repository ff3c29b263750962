package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// pendingNotice is what is to be told of one back end, beside its work.
type pendingNotice struct {
	// read are the parts that the engine has begun to read, kept those that it has read and
	// keeps for any request, dropped those whose reading was given up.
	read, kept []placement.PrefixBlock
	dropped    []placement.BlockHash
	// assigned are the numbers of questions whose assignments have begun.
	assigned []uint64
	// tokenTime is the newest observation of the time per token, 0 for none.
	tokenTime time.Duration
	// failed tells that exchanges with the back end broke or stalled.
	failed bool
}

// note tells that the work at an engine has changed.
func (n *notices) note(engine *backEnd) { n.add(engine, pendingNotice{}) }

// noteBegun tells what an engine has begun to read, and the number of the question that was
// answered with it, 0 for none.
func (n *notices) noteBegun(engine *backEnd, read []placement.PrefixBlock, assigned uint64) {
	told := pendingNotice{read: read}
	if assigned != 0 {
		told.assigned = []uint64{assigned}
	}
	n.add(engine, told)
}

// noteKept tells that an engine keeps parts for any request.
func (n *notices) noteKept(engine *backEnd, kept []placement.PrefixBlock) {
	n.add(engine, pendingNotice{kept: kept})
}

// noteDropped tells that the reading of parts was given up.
func (n *notices) noteDropped(engine *backEnd, dropped []placement.BlockHash) {
	n.add(engine, pendingNotice{dropped: dropped})
}

// notePace tells the time per token that an engine was seen to take.
func (n *notices) notePace(engine *backEnd, tokenTime time.Duration) {
	if tokenTime > 0 {
		n.add(engine, pendingNotice{tokenTime: tokenTime})
	}
}

// add joins what is to be told with what waits of the same back end.
func (n *notices) add(engine *backEnd, told pendingNotice) {
	n.mutex.Lock()
	waiting := n.pending[engine]
	waiting.read = append(waiting.read, told.read...)
	waiting.kept = append(waiting.kept, told.kept...)
	waiting.dropped = append(waiting.dropped, told.dropped...)
	waiting.assigned = append(waiting.assigned, told.assigned...)
	if told.tokenTime > 0 {
		waiting.tokenTime = told.tokenTime
	}
	waiting.failed = waiting.failed || told.failed
	n.pending[engine] = waiting
	n.mutex.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// noteFailure tells that exchanges with a back end broke or stalled.
func (n *notices) noteFailure(backEnd *backEnd) { n.add(backEnd, pendingNotice{failed: true}) }
