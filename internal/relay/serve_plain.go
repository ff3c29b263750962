package relay

import "github.com/hazelpitch/hazelpitch/internal/verdict"

// servePlain serves a request that back ends answer whole, without streaming.
func (r *Relay) servePlain(request *request, reply *replier) {
	attempts := r.newAttempts(request)
	defer attempts.end()
	for {
		attempt := r.makePlainAttempt(attempts, reply)
		if attempt.isAnswered {
			return
		}
		if attempt.backEnd == nil {
			break
		}
		r.recordFailedAttempt(request, attempt.backEnd, attempt.fault)
		attempts.recordFailure(attempt.backEnd, attempt.fault)
	}
	if attempts.couldNotConnect() && r.forwardToPeers(attempts, reply, "") {
		return
	}
	r.replyRefused(attempts, reply)
}

// attemptResult is the result of one attempt at a back end, which is nil if no attempt could be made.
type attemptResult struct {
	backEnd *backEnd
	fault   *failure
	// isAnswered is true if the client has its final answer.
	isAnswered bool
}

// makePlainAttempt makes the next attempt of a request that is answered whole: the replacement of one whose back end was silent, or
// one at a back end that is selected now.
func (r *Relay) makePlainAttempt(attempts *attemptTracker, reply *replier) attemptResult {
	if replacing := attempts.takeReplacement(); replacing != nil && replacing.await() {
		fault := r.finishPlainReplacement(replacing, reply)
		return attemptResult{backEnd: replacing.selection.backEnd, fault: fault, isAnswered: fault == nil}
	}
	request := attempts.request
	if r.path.pathTo(request.service.Name).IsLost && r.forwardToPeers(attempts, reply, "") {
		return attemptResult{isAnswered: true}
	}
	if r.isOutOfReach(attempts) || !attempts.mayContinue() {
		return attemptResult{}
	}
	selection, slot := r.pickWithSlot(request, attempts)
	if selection == nil {
		return attemptResult{}
	}
	fault := r.attemptPlain(selection, slot, attempts, reply)
	return attemptResult{backEnd: selection.backEnd, fault: fault, isAnswered: fault == nil}
}

// attemptPlain sends a request to the selected back end and forwards the answer. It releases the slot when the answer is
// complete or has failed, and returns nil when the client has its final answer.
func (r *Relay) attemptPlain(selection *backEndSelection, slot plainSlot, attempts *attemptTracker, reply *replier) *failure {
	request, backEnd := attempts.request, selection.backEnd
	request.trace.engine, request.trace.sentAt = backEnd.ID, r.clock.now()
	plain := replaceablePlain{attempts}
	sent := plain.newMessage(selection)
	sent.reserve = attempts.replacement(backEnd, sent.stall, plain, nil)
	sent.keep = attempts.keepCurrent
	answer, fault := r.exchanger.send(sent)
	r.work.AddWholeAnswer(request.service.Name, r.clock.now()-request.trace.sentAt, backEnd.Slots)
	if fault == nil || fault.verdict != verdict.NotRun {
		r.recordRun(request, request.trace.sentAt)
	}
	if fault == nil {
		fault = r.forwardPlain(answer, attempts, reply)
	}
	r.releaseSlot(slot, sent, fault, reply)
	return fault
}

// finishPlainReplacement forwards the answer of a replacement, if it has brought one. It returns nil when the client has its final
// answer.
func (r *Relay) finishPlainReplacement(replacing *replacementAttempt, reply *replier) *failure {
	attempts, backEnd := replacing.attempts, replacing.selection.backEnd
	request := attempts.request
	request.trace.engine, request.trace.sentAt = backEnd.ID, replacing.startedAt
	r.work.AddWholeAnswer(request.service.Name, r.clock.now()-replacing.startedAt, backEnd.Slots)
	if fault := replacing.fault; fault != nil {
		if fault.verdict != verdict.NotRun {
			r.recordRun(request, replacing.startedAt)
		}
		attempts.keepFallback(replacing.fallback)
		return fault
	}
	r.recordRun(request, replacing.startedAt)
	fault := r.forwardAwaited(replacing.answer, reply)
	replacing.answer.finish()
	r.releaseSlot(replacing.slot, replacing.answer.message, fault, reply)
	return fault
}

// releaseSlot releases the slot of an attempt, and reports to the owner of the slots how the back end has served it.
func (r *Relay) releaseSlot(slot plainSlot, sent *message, fault *failure, reply *replier) {
	result := slotResult(sent, fault, !reply.aborted, r.clock.now())
	result.TurnedAway = result.TurnedAway && !r.path.pathTo(sent.backEnd.Service).IsLost // the back end may be sound
	slot.release(result)
}
