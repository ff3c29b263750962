package relay

import (
	"errors"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// queryNumber is the number of the placement query whose answer selected the message's back end; 0 for none.
func (m *message) queryNumber() uint64 {
	if m.selection == nil {
		return 0
	}
	return m.selection.assignment.number
}

// announceWork notifies other relays that this relay's work at an engine has changed.
func (e *exchanger) announceWork(message *message) {
	if message.backEnd.isEngine() {
		e.notices.queueWork(message.backEnd)
	}
}

// recordPrefill records, and announces to other relays, the prefix blocks whose prefill an engine begins.
func (e *exchanger) recordPrefill(message *message) {
	if message.backEnd.isEngine() {
		message.newBlocks = message.backEnd.cache.beginPrefill(e.clock.now(), message.prefixBlocks)
		e.notices.queueStarted(message.backEnd, message.prefixBlocks, message.queryNumber())
	}
}

// recordCached records, and announces to other relays, that an engine has cached blocks for use by any request.
func (e *exchanger) recordCached(engine *backEnd, blocks []placement.PrefixBlock) {
	if engine.isEngine() && len(blocks) > 0 {
		engine.cache.markCached(e.clock.now(), blocks)
		e.notices.queueCached(engine, blocks)
	}
}

// recordAbandonedPrefill records, and announces to other relays, that an engine does not complete a prefill that it was
// sent.
func (e *exchanger) recordAbandonedPrefill(message *message) {
	if !message.backEnd.isEngine() || len(message.newBlocks) == 0 {
		return
	}
	dropped := make([]placement.BlockHash, len(message.newBlocks))
	for index, block := range message.newBlocks {
		dropped[index] = block.Hash
	}
	message.backEnd.cache.dropBlocks(dropped)
	e.notices.queueAbandoned(message.backEnd, dropped)
}

// updateHealth updates the back end's health after an exchange that failed.
func (e *exchanger) updateHealth(message *message, fault *failure) {
	switch {
	case message.backEnd.isRelay: // forwarding records how its peers behave
	case errors.Is(fault, errCancelled), errors.Is(fault, errQuarantined), errors.Is(fault, errInBackoff), errors.Is(fault, errStopping), errors.Is(fault, errLimitReached), errors.Is(fault, errOtherIncarnation), errors.Is(fault, errNoReport):
	case errors.Is(fault, errNotExecuted):
		e.recordRefusal(message)
	case e.path.pathTo(message.backEnd.Service).IsLost: // the back end may be sound
	case errors.Is(fault, errDial):
		message.backEnd.recordFailure(e.clock.now()) // announced once the path is known to be sound
	default:
		e.recordFailure(message.backEnd)
	}
}

// updateHealthAfterBody updates the back end's health after an answer whose body is unusable. An answer that was replaced during a
// silence shows only a slow back end, which the stallWatch records. An undeclared end does not show that anything is missing, and memory
// that other answers take says nothing of this one.
func (e *exchanger) updateHealthAfterBody(answer *answer) {
	fault := answer.fault
	switch {
	case fault == nil, errors.Is(fault, errStalled), errors.Is(fault, framing.ErrUndeclaredEnd), errors.Is(fault, bodybudget.ErrExhausted):
	case errors.Is(fault, errDeadline) && !e.isEndless(answer):
	default:
		e.updateHealth(answer.message, fault)
	}
}

// isEndless reports whether an answer that its request's deadline has ended shows a faulty back end. Streams may last that long,
// and a client may read too slowly.
func (e *exchanger) isEndless(answer *answer) bool {
	return !isEventStream(answer) && !answer.clientWait.IsClientSlow(e.clock.now()-answer.message.sentAt)
}

// recordRefusal starts a backoff after a back end refused a request. An engine that refuses although most of its slots are
// free counts as failed: it does not lack capacity, but may be changing its stage, for instance, and will refuse other
// relays too. A single refusal of a prompt that another engine has prefilled is inconclusive, since that engine's KV cache
// may have been unreachable.
func (e *exchanger) recordRefusal(message *message) {
	engine := message.backEnd
	isInconclusive := message.work.PromptTokens() == 0 && engine.currentLoad(e.clock.now()).refusals == 0
	if isInconclusive || !e.hasFreeSlots(message) || !e.mechanisms.IsEnabled(mechanism.RefusalSuspicion) {
		engine.recordBusy(e.clock.now())
		return
	}
	e.recordFailure(engine)
}

// hasFreeSlots reports whether most slots of a message's engine are free, according to the work that this relay knows now
// or knew when the engine was selected.
func (e *exchanger) hasFreeSlots(message *message) bool {
	engine, now := message.backEnd, e.clock.now()
	current := engine.currentLoad(now)
	total := e.notices.table.totalWork(now, engine, current)
	busy := max(total.Streams+total.Prefills, current.reportedRequests)
	if selection := message.selection; selection != nil {
		busy = max(busy, selection.queuedWork.Streams+selection.queuedWork.Prefills)
	}
	return engine.isEngine() && busy < engine.Slots/2
}

// recordFailure starts the failure backoff of a back end, and notifies other relays.
func (e *exchanger) recordFailure(backEnd *backEnd) {
	backEnd.recordFailure(e.clock.now())
	e.notices.queueFailure(backEnd)
}

// recordEndOfAnswer counts an answer to a client's request, and records for the request's log line how its end was determined.
func (e *exchanger) recordEndOfAnswer(answer *answer) {
	if answer.message.isPrefill {
		return
	}
	kind, end := answer.body.Kind(), answer.body.End()
	e.answers.WithLabelValues(kind.String(), end.String()).Inc()
	answer.message.request.trace.recordEndOfAnswer(kind, end)
}

// recordReportedLoad records the load that the back end reports in its answer.
func (e *exchanger) recordReportedLoad(answer *answer) {
	reported, valid := parseLoadHeader(string(answer.head.Peek(e.names.Load)))
	if !valid {
		return
	}
	backEnd, now := answer.message.backEnd, e.clock.now()
	backEnd.recordReportedLoad(now, reported.running, reported.waiting)
	answer.message.relativeTimePercent = reported.relativeTimePercent
	if reported.relativeTimePercent > 0 && backEnd.isEngine() {
		e.speeds.ObserveReport(now, backEnd.Service, backEnd.hash, relativeTime(reported.relativeTimePercent))
		backEnd.recordRelativeTime(reported.relativeTimePercent)
	}
}

// relativeTime converts a reported relative time in percent into a multiple of the usual time; 0 means that none was reported.
func relativeTime(percent int) float64 { return float64(percent) / 100 }
