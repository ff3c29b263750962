package relay

import (
	"errors"
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// queryNumber is the number of the question that was answered with the message's back end; 0 for none.
func (m *message) queryNumber() uint64 {
	if m.chosen == nil {
		return 0
	}
	return m.chosen.assignment.number
}

// announceWork tells other relays that the work at an engine has changed.
func (e *exchanger) announceWork(message *message) {
	if message.backEnd.isEngine() {
		e.notices.queueWork(message.backEnd)
	}
}

// recordPrefill notes, here and at other relays, what an engine begins to read.
func (e *exchanger) recordPrefill(message *message) {
	if message.backEnd.isEngine() {
		message.newBlocks = message.backEnd.cache.beginPrefill(e.clock.now(), message.prefixBlocks)
		e.notices.queueStarted(message.backEnd, message.prefixBlocks, message.queryNumber())
	}
}

// recordCached notes, here and at other relays, that an engine keeps parts for any request.
func (e *exchanger) recordCached(engine *backEnd, parts []placement.PrefixBlock) {
	if engine.isEngine() && len(parts) > 0 {
		engine.cache.markCached(e.clock.now(), parts)
		e.notices.queueCached(engine, parts)
	}
}

// recordAbandonedPrefill notes, here and at other relays, that an engine does not read to its end what
// it was sent to read.
func (e *exchanger) recordAbandonedPrefill(message *message) {
	if !message.backEnd.isEngine() || len(message.newBlocks) == 0 {
		return
	}
	dropped := make([]placement.BlockHash, len(message.newBlocks))
	for index, part := range message.newBlocks {
		dropped[index] = part.Hash
	}
	message.backEnd.cache.dropBlocks(dropped)
	e.notices.queueAbandoned(message.backEnd, dropped)
}

// updateHealth lets the back end's health follow from a failure.
func (e *exchanger) updateHealth(message *message, fault *failure) {
	switch {
	case errors.Is(fault, errCancelled), errors.Is(fault, errInBackoff), errors.Is(fault, errLimitReached):
	case errors.Is(fault, errNotExecuted):
		e.recordRefusal(message)
	default:
		e.recordFailure(message.backEnd)
	}
}

// recordRefusal avoids a back end that has not run a request. An engine that refuses although
// most of its slots are free does not want for room: its stage is being changed, for instance,
// and it will refuse other relays too. It counts as failed. One refusal of a prompt that
// another engine has read is no such sign, since that memory may have been out of reach.
func (e *exchanger) recordRefusal(message *message) {
	engine := message.backEnd
	isInconclusive := message.work.PromptTokens() == 0 && engine.currentLoad(e.clock.now()).refusals == 0
	if isInconclusive || !e.hasFreeSlots(message) || !e.without.IsEnabled(mechanism.RefusalSuspicion) {
		engine.recordBusy(e.clock.now())
		return
	}
	e.recordFailure(engine)
}

// hasFreeSlots reports whether most slots of a message's engine are free, as far as is known here or
// was known to those who picked it.
func (e *exchanger) hasFreeSlots(message *message) bool {
	engine, now := message.backEnd, e.clock.now()
	current := engine.currentLoad(now)
	total := e.notices.table.totalWork(now, engine, current)
	busy := max(total.Streams+total.Prefills, current.reportedRequests)
	if chosen := message.chosen; chosen != nil {
		busy = max(busy, chosen.queuedWork.Streams+chosen.queuedWork.Prefills)
	}
	return engine.isEngine() && busy < engine.Slots/2
}

// recordFailure avoids a back end that failed, and tells other relays.
func (e *exchanger) recordFailure(backEnd *backEnd) {
	backEnd.recordFailure(e.clock.now())
	e.notices.queueFailure(backEnd)
}

// recordReportedLoad takes the back end's own word of its load.
func (e *exchanger) recordReportedLoad(answer *answer) {
	value := string(answer.head.Peek(e.names.Load))
	if value == "" {
		return
	}
	parts := strings.Split(value, ",")
	if len(parts) < 2 {
		return
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(parts[1]))
	if runningErr == nil && waitingErr == nil {
		answer.message.backEnd.recordReportedLoad(e.clock.now(), running, waiting)
	}
}
