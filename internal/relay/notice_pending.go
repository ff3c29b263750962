package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// pendingNotice is what is to be told of one back end, beside its work.
type pendingNotice struct {
	// read are the parts that the engine has begun to read, kept those that it has read and
	// keeps for any request, dropped those whose reading was given up.
	read, kept []placement.Part
	dropped    []placement.PartHash
	// tokenTime is the newest observation of the time per token, 0 for none.
	tokenTime time.Duration
	// far tells that prompts or failures are concerned.
	far bool
}

// note tells that the work at an engine has changed, and what it has begun to read; far
// tells that prompts or failures are concerned.
func (n *notices) note(engine *backEnd, read []placement.Part, far bool) {
	n.add(engine, pendingNotice{read: read, far: far})
}

// noteKept tells that an engine keeps parts for any request.
func (n *notices) noteKept(engine *backEnd, kept []placement.Part) {
	n.add(engine, pendingNotice{kept: kept, far: true})
}

// noteDropped tells that the reading of parts was given up.
func (n *notices) noteDropped(engine *backEnd, dropped []placement.PartHash) {
	n.add(engine, pendingNotice{dropped: dropped, far: true})
}

// notePace tells the time per token that an engine was seen to take.
func (n *notices) notePace(engine *backEnd, tokenTime time.Duration) {
	if tokenTime > 0 {
		n.add(engine, pendingNotice{tokenTime: tokenTime, far: true})
	}
}

// add joins what is to be told with what waits of the same back end.
func (n *notices) add(engine *backEnd, told pendingNotice) {
	n.mutex.Lock()
	waiting := n.pending[engine]
	waiting.read = append(waiting.read, told.read...)
	waiting.kept = append(waiting.kept, told.kept...)
	waiting.dropped = append(waiting.dropped, told.dropped...)
	if told.tokenTime > 0 {
		waiting.tokenTime = told.tokenTime
	}
	waiting.far = waiting.far || told.far
	n.pending[engine] = waiting
	n.mutex.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// noteFailure tells that exchanges with a back end broke or stalled.
func (n *notices) noteFailure(backEnd *backEnd) {
	n.mutex.Lock()
	n.failures[backEnd] = true
	n.mutex.Unlock()
	n.note(backEnd, nil, true)
}
