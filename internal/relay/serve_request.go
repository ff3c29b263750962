package relay

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxBufferedAnswer is the size in bytes up to which an answer is buffered before any of it is forwarded: when it breaks
// off, it can still be replaced or refused.
const maxBufferedAnswer = 64 << 10

// serveRequest finds the route of a request and serves it. When it returns, the replier has answered, unless the client has
// disconnected.
func (r *Relay) serveRequest(request *request, reply *replier) {
	if request.id == "" {
		reply.refuse(refusal{status: fasthttp.StatusBadRequest, reason: "the header " + r.dialect.Headers.RequestID + " is missing"})
		return
	}
	if missing := r.awaitReadyView(request); missing != "" {
		r.refuseForMissingState(request, missing, reply)
		return
	}
	view := r.view.Load()
	request.route = view.table.Route(request.host, pathOf(request.target))
	if request.route == nil {
		reply.refuse(r.refuseByConfiguration(fasthttp.StatusNotFound, "no route has this host and path"))
		return
	}
	if request.forwarded != nil {
		if !r.applyPeerProgress(view.table, request) {
			reply.refuse(refusal{status: fasthttp.StatusServiceUnavailable, reason: "this relay cannot serve the forwarded request", isRetryableAtPeer: true})
			return
		}
	} else if fault := r.admit(view.table, request); fault != "" {
		r.refuseKey(request, fault, reply)
		return
	}
	names := r.dialect.Headers
	request.partIDs = serving.SharedPartIDs(string(request.header.Peek(names.PromptParts)))
	request.content = quarantine.ContentOf(request.tenantName(), request.method, request.target, request.body, request.partIDs)
	level, levels := view.table.PriorityLevel(request.tenant, request.route)
	request.priorityLevel, request.rank = level, placement.RankOf(level, levels)
	request.setDeadline(min(request.route.Timeout, clientTimeout(request.header, names.DeadlineMs, request.route.Timeout)))
	if request.forwarded == nil {
		request.service = view.table.Service(r.chooseService(request.route))
	}
	request.prompt = serving.ParsePrompt(string(request.header.Peek(names.Model)),
		string(request.header.Peek(names.Tokens)), string(request.header.Peek(names.PromptParts)))
	defer r.recordRequestEnd(request, reply)
	unknownOrigin := r.bindTakenUp(request)
	if request.forwarded == nil {
		r.budget.RecordRequest(r.clock.now(), request.service.Name)
	}
	if unknownOrigin != nil {
		r.log.recordRefusal(request, *unknownOrigin, r.newAttempts(request))
		reply.refuse(*unknownOrigin)
		return
	}
	if !r.admitQuarantined(request, reply) {
		return
	}
	if request.route.Kind == serving.KindStream {
		r.serveStream(request, reply)
		return
	}
	r.servePlain(request, reply)
}

// recordRequestEnd writes the log line at a request's end and updates the metrics.
func (r *Relay) recordRequestEnd(request *request, reply *replier) {
	snapshot := r.viewSnapshot()
	r.log.recordEnd(request, reply, snapshot)
	r.metrics.recordEnd(request, reply, snapshot.now)
}

// chooseService selects one of a route's services by their weights.
func (r *Relay) chooseService(route *serving.Route) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	return route.ChooseService(r.splits.Next(route.Name))
}

// refuseByConfiguration returns the refusal of a request that the configuration does not allow. When the configuration may
// be out of date, the status promises only that the request was not run.
func (r *Relay) refuseByConfiguration(status int, reason string) refusal {
	if !r.isLeaderInContact() {
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the configuration may be old", retryAfter: retryAfterStaleView}
	}
	return refusal{status: status, reason: reason}
}

// pathOf returns the target without its query string.
func pathOf(target string) string {
	for index := range len(target) {
		if target[index] == '?' {
			return target[:index]
		}
	}
	return target
}

// answeringStage returns the stage of the back ends that answer requests of a service.
func answeringStage(service *serving.Service) serving.Stage {
	if service.Engine == nil {
		return serving.StageWhole
	}
	return serving.StageDecode
}

// replyRefused sends the final answer when the last attempt brought none: the fallback answer of an earlier attempt, or the
// relay's own.
func (r *Relay) replyRefused(attempts *attemptTracker, reply *replier) {
	if reply.started || attempts.request.canceller.hasClientLeft() {
		reply.abort()
		return
	}
	if fallback := attempts.fallback; fallback != nil {
		reply.sendWhole(fallback.answer, fallback.body)
		return
	}
	response := attempts.refusal()
	response.attempts = attempts.sentCount
	r.log.recordRefusal(attempts.request, response, attempts)
	reply.refuse(response)
}

// forwardPlain forwards an answer to the client. It returns nil when the client has its final answer, complete or cut off;
// on a failure, nothing of the answer was forwarded.
func (r *Relay) forwardPlain(answer *answer, attempts *attemptTracker, reply *replier) *failure {
	defer answer.finish()
	if answer.isLong() {
		return r.forwardLong(answer, nil, reply)
	}
	body, isWhole, err := answer.readBeginning(maxBufferedAnswer + 1)
	if err != nil {
		return asFailure(err)
	}
	if isWhole && answer.status >= fasthttp.StatusInternalServerError && r.mayReplace(answer, attempts) {
		attempts.setFallbackAnswer(answer, body)
		return errorAnswerFailure()
	}
	return r.forwardAwaited(&awaitedAnswer{answer: answer, body: body, isWhole: isWhole}, reply)
}

// forwardAwaited forwards an answer that is no stream, of which the body or its beginning was read.
func (r *Relay) forwardAwaited(awaited *awaitedAnswer, reply *replier) *failure {
	if !awaited.isWhole {
		return r.forwardLong(awaited.answer, awaited.body, reply)
	}
	reply.sendWhole(awaited.answer, awaited.body)
	return nil
}

// mayReplace reports whether a back end's error answer may be replaced by the answer of another back end. It takes nothing
// from the retry budget; mayContinue does.
func (r *Relay) mayReplace(answer *answer, attempts *attemptTracker) bool {
	return attempts.contest.hasReplacement() || attempts.hasFurtherAttempt() && !attempts.isOver() && r.hasUntriedBackEnd(answer, attempts) &&
		r.budget.CanSpend(r.clock.now(), answer.message.request.service.Name)
}

// hasUntriedBackEnd reports whether an available back end of the service was not tried yet.
func (r *Relay) hasUntriedBackEnd(answer *answer, attempts *attemptTracker) bool {
	now := r.clock.now()
	for _, backEnd := range r.view.Load().byService[answer.message.request.service.Name] {
		if !backEnd.isLeaving() && backEnd.sendDelay(now) == 0 && backEnd != answer.message.backEnd && !attempts.isExcluded(backEnd) {
			return true
		}
	}
	return false
}

// asFailure converts an error of an answer's reader into a failure.
func asFailure(err error) *failure {
	var fault *failure
	if errors.As(err, &fault) {
		return fault
	}
	return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: err}
}

// forwardLong forwards a long answer as it arrives, after the bytes that were buffered already.
func (r *Relay) forwardLong(answer *answer, buffered []byte, reply *replier) *failure {
	r.recordClientWait(answer, func() { reply.sendFirst(answer, buffered) })
	request := answer.message.request
	request.canceller.extend(answer.exchanger.clock, request.cutoff)
	r.forwardRemainder(answer, reply)
	return nil
}

// forwardRemainder forwards the remainder of an answer whose head was sent, piece by piece as it arrives. When the answer
// breaks off, it aborts the answer to the client.
func (r *Relay) forwardRemainder(answer *answer, reply *replier) {
	piece := make([]byte, 16<<10)
	for {
		n, err := answer.Read(piece)
		if n > 0 && isEventStream(answer) {
			r.recordRun(answer.message.request, r.clock.now())
		}
		if framing.IsEnd(err) {
			reply.finish(piece[:n], answer.body.End())
			return
		}
		if err != nil || reply.aborted {
			reply.abort()
			return
		}
		if n > 0 {
			answer.message.request.trace.recordEvents(r.clock.now())
			r.recordClientWait(answer, func() { reply.send(piece[:n]) })
		}
	}
}

// recordClientWait calls write, which sends a part of the answer, and records how long the client kept it waiting.
func (r *Relay) recordClientWait(answer *answer, write func()) {
	writtenFrom := r.clock.now()
	write()
	answer.clientWait.RecordWrite(r.clock.now() - writtenFrom)
}
