package relay

import (
	"errors"
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// assigned is the number of the question that was answered with the message's back end; 0 for none.
func (m *message) assigned() uint64 {
	if m.chosen == nil {
		return 0
	}
	return m.chosen.assigned.number
}

// noteWork tells other relays that the work at an engine has changed.
func (e *exchanger) noteWork(message *message) {
	if message.backEnd.isEngine() {
		e.notices.note(message.backEnd)
	}
}

// noteReading notes, here and at other relays, what an engine begins to read.
func (e *exchanger) noteReading(message *message) {
	if message.backEnd.isEngine() {
		message.begun = message.backEnd.cache.begin(e.clock.now(), message.reads)
		e.notices.noteBegun(message.backEnd, message.reads, message.assigned())
	}
}

// noteKept notes, here and at other relays, that an engine keeps parts for any request.
func (e *exchanger) noteKept(engine *backEnd, parts []placement.PrefixBlock) {
	if engine.isEngine() && len(parts) > 0 {
		engine.cache.keep(e.clock.now(), parts)
		e.notices.noteKept(engine, parts)
	}
}

// noteGivenUp notes, here and at other relays, that an engine does not read to its end what
// it was sent to read.
func (e *exchanger) noteGivenUp(message *message) {
	if !message.backEnd.isEngine() || len(message.begun) == 0 {
		return
	}
	dropped := make([]placement.BlockHash, len(message.begun))
	for index, part := range message.begun {
		dropped[index] = part.Hash
	}
	message.backEnd.cache.drop(dropped)
	e.notices.noteDropped(message.backEnd, dropped)
}

// judge lets the back end's health follow from a failure.
func (e *exchanger) judge(message *message, fault *failure) {
	switch {
	case errors.Is(fault, errCancelled), errors.Is(fault, errResting), errors.Is(fault, errLimited):
	case errors.Is(fault, errNotExecuted):
		e.noteRefusal(message)
	default:
		e.noteFailure(message.backEnd)
	}
}

// noteRefusal avoids a back end that has not run a request. An engine that refuses although
// most of its slots are free does not want for room: its stage is being changed, for instance,
// and it will refuse other relays too. It counts as failed. One refusal of a prompt that
// another engine has read is no such sign, since that memory may have been out of reach.
func (e *exchanger) noteRefusal(message *message) {
	engine := message.backEnd
	alone := message.work.PromptTokens() == 0 && engine.look(e.clock.now()).refusals == 0
	if alone || !e.hasRoom(message) || !e.without.IsEnabled(mechanism.RefusalSuspicion) {
		engine.busy(e.clock.now())
		return
	}
	e.noteFailure(engine)
}

// hasRoom reports whether most slots of a message's engine are free, as far as is known here or
// was known to those who picked it.
func (e *exchanger) hasRoom(message *message) bool {
	engine, now := message.backEnd, e.clock.now()
	seen := engine.look(now)
	known := e.notices.table.total(now, engine, seen)
	busy := max(known.Streams+known.Prefills, seen.told)
	if chosen := message.chosen; chosen != nil {
		busy = max(busy, chosen.ahead.Streams+chosen.ahead.Prefills)
	}
	return engine.isEngine() && busy < engine.Slots/2
}

// noteFailure avoids a back end that failed, and tells other relays.
func (e *exchanger) noteFailure(backEnd *backEnd) {
	backEnd.failed(e.clock.now())
	e.notices.noteFailure(backEnd)
}

// noteLoad takes the back end's own word of its load.
func (e *exchanger) noteLoad(answer *answer) {
	told := string(answer.head.Peek(e.names.Load))
	if told == "" {
		return
	}
	parts := strings.Split(told, ",")
	if len(parts) < 2 {
		return
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(parts[1]))
	if runningErr == nil && waitingErr == nil {
		answer.message.backEnd.tell(e.clock.now(), running, waiting)
	}
}
