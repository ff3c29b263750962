package relay

import (
	"errors"
	"strconv"
	"strings"
)

// noteWork tells other relays that the work at an engine has changed.
func (e *exchanger) noteWork(message *message) {
	if message.backEnd.isEngine() {
		e.notices.note(message.backEnd, nil, message.work.prompts > 0)
	}
}

// noteReading notes, here and at other relays, what an engine begins to read.
func (e *exchanger) noteReading(message *message) {
	if message.backEnd.isEngine() {
		message.begun = message.backEnd.cache.begin(e.clock.now(), message.reads)
		e.notices.note(message.backEnd, message.reads, message.work.prompts > 0)
	}
}

// noteKept notes, here and at other relays, that an engine keeps parts for any request.
func (e *exchanger) noteKept(engine *backEnd, parts []promptPart) {
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
	dropped := make([]partHash, len(message.begun))
	for index, part := range message.begun {
		dropped[index] = part.hash
	}
	message.backEnd.cache.drop(dropped)
	e.notices.noteDropped(message.backEnd, dropped)
}

// judge lets the back end's health follow from a failure.
func (e *exchanger) judge(backEnd *backEnd, fault *failure) {
	switch {
	case errors.Is(fault, errCancelled):
	case errors.Is(fault, errNotExecuted):
		backEnd.busy(e.clock.now())
	default:
		e.noteFailure(backEnd)
	}
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
