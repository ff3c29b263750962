package relay

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// replaceable is what is replaced while its back end is silent: a request that is answered whole, or a stream. Its methods are
// called while the current attempt goes on.
type replaceable interface {
	// prepareSearch returns the search for one of the usable back ends; nil if it would find none by what this relay knows.
	// excluded holds the hashes of the others.
	prepareSearch(usable []*backEnd, excluded []uint64) findBackEnd
	// newMessage returns the message for a back end.
	newMessage(selection *backEndSelection) *message
	// awaitAnswer reads as much of an answer as shows that the back end answers the request. stall watches the answer
	// meanwhile. After a failure the exchange has ended; an error answer that was read whole is returned with it.
	awaitAnswer(answer *answer, stall func() *stallWatch) (*awaitedAnswer, *failure)
}

// findBackEnd selects a back end and counts the attempt there; it returns nil when there is none. stop is closed when the result
// is not needed any more.
type findBackEnd func(stop <-chan struct{}) (*backEndSelection, plainSlot)

// awaitedAnswer is an answer of which the first event, or the whole body, was read.
type awaitedAnswer struct {
	*answer
	// events reads the events of a stream; nil for another answer, of which body was read: the beginning, or all of it if isWhole
	// is true.
	events  *eventstream.Reader
	body    []byte
	isWhole bool
}

// replacementOutcome says how an attempt ended that was made while the current back end was silent.
type replacementOutcome string

const (
	// replacementAnswered: it answers the request. replacementFailed: it was refused or broke off. replacementCancelled: the silent
	// back end has gone on, or the request has ended.
	replacementAnswered  replacementOutcome = "answered"
	replacementFailed    replacementOutcome = "failed"
	replacementCancelled replacementOutcome = "cancelled"
)

// replacementAttempt is an attempt at another back end while the exchange with the current one, which is silent, goes on. Once it
// has brought an answer, the silent exchange is ended; until then the silent back end may still answer.
type replacementAttempt struct {
	attempts *attemptTracker
	request  replaceable
	// silent is the back end that is silent, and limit the limit of its watch. endSilent ends the silent exchange once the
	// contest is decided.
	silent    *backEnd
	limit     time.Duration
	endSilent func()
	canceller *canceller
	startedAt time.Duration
	// isLast is true if the route allows no attempt besides this one and the silent one.
	isLast bool
	// isSent is true once a back end may have received the request.
	isSent atomic.Bool

	// done is closed when the attempt has brought an answer or failed. The fields below are read after that.
	done      chan struct{}
	selection *backEndSelection
	slot      plainSlot
	// version is the software version that serves the request.
	version streamorigin.Version
	// answer is nil after a failure, and fault is nil if the request was not sent. fallback is an error answer of the back end.
	answer   *awaitedAnswer
	fault    *failure
	fallback *fallbackAnswer
}

// run makes the attempt.
func (r *replacementAttempt) run(find findBackEnd) {
	isAnswered := r.selectBackEnd(find) && r.send()
	close(r.done)
	switch {
	case isAnswered:
		r.endSilentExchange()
	case r.attempts.contest.fail(r) && r.isSent.Load():
		r.reportFailure()
	}
}

// selectBackEnd selects a back end, connects to it and reserves a retry. The connection is opened first, since the back end may stand
// still as well, which nothing else shows.
func (r *replacementAttempt) selectBackEnd(find findBackEnd) bool {
	relay := r.attempts.relay
	r.selection, r.slot = find(r.canceller.done())
	if r.selection == nil {
		return false
	}
	if !relay.preconnect(r.selection.backEnd) || !r.mayBeSent() {
		relay.abandonSelection(r.selection)
		r.slot.release(slotqueue.Result{})
		return false
	}
	return true
}

// mayBeSent reports whether the selected back end can still take the request. It may have refused another one meanwhile.
func (r *replacementAttempt) mayBeSent() bool {
	relay := r.attempts.relay
	state := relay.replacementState(r.selection.backEnd, relay.clock.now())
	state.Running-- // the attempt is counted there already
	return !r.canceller.isCancelled() && state.CanTakeOver(r.limit)
}

// send sends the request with a retry from the budget, and awaits the answer. It reports whether the back end answers.
func (r *replacementAttempt) send() bool {
	relay, service := r.attempts.relay, r.attempts.request.service.Name
	retry := relay.budget.Reserve(relay.clock.now(), service)
	if retry == nil {
		relay.metrics.deniedRetries.Inc()
		relay.abandonSelection(r.selection)
		r.slot.release(slotqueue.Result{})
		return false
	}
	message := r.newMessage()
	answer, fault := relay.exchanger.send(message)
	if fault == nil {
		fault = r.awaitAnswer(answer)
	}
	if fault != nil && !fault.mayHaveArrived {
		r.isSent.Store(false)
		retry.Return(relay.clock.now())
	} else {
		relay.metrics.retries.Inc()
	}
	if fault == nil {
		return true
	}
	r.fault = fault
	r.slot.release(slotResult(message, fault, false, relay.clock.now()))
	return false
}

// awaitAnswer reads the answer until it shows that the back end answers the request.
func (r *replacementAttempt) awaitAnswer(answer *answer) *failure {
	awaited, fault := r.request.awaitAnswer(answer, func() *stallWatch {
		return answer.exchanger.watchStall(answer.connection, answer.message.backEnd, r.limit, answer.message.reserve)
	})
	switch {
	case fault == nil:
		r.answer = awaited
	case awaited != nil:
		r.fallback = &fallbackAnswer{awaited.answer, awaited.body}
	}
	return fault
}

// newMessage returns the message of the attempt.
func (r *replacementAttempt) newMessage() *message {
	message := r.request.newMessage(r.selection)
	message.ownCanceller = r.canceller
	message.onWorkAdded = func() { r.selection.backEnd.removeWork(placement.Work{Streams: 1}) }
	message.reserve = r.attempts.replacement(r.selection.backEnd, r.limit, r.request, r)
	message.keep = func() bool { return r.attempts.contest.keep(r) }
	message.onVersion = func(version streamorigin.Version) {
		r.version = version
		r.isSent.Store(true)
	}
	return message
}

// endSilentExchange ends the exchange with the silent back end, unless that has gone on or ended, or this attempt has failed.
func (r *replacementAttempt) endSilentExchange() {
	if r.attempts.contest.replace(r) {
		r.attempts.recordGivenUp(r.silent, r.selection.backEnd)
		r.endSilent()
	}
}

// reportFailure logs the failed attempt, after which the silent exchange goes on, and reports to the crash guard what it says of
// the back end.
func (r *replacementAttempt) reportFailure() {
	relay, request, backEnd := r.attempts.relay, r.attempts.request, r.selection.backEnd
	r.count(replacementFailed)
	relay.recordFailedAttempt(request, backEnd, r.fault)
	relay.reportIfCrashed(backEnd, r.fault)
	relay.reportBrokenRun(request, backEnd, r.fault, 0)
}

// await waits until the attempt has brought an answer or failed. It returns false if it was not made.
func (r *replacementAttempt) await() bool {
	<-r.done
	switch {
	case r.answer != nil:
		r.count(replacementAnswered)
	case r.fault != nil:
		r.count(replacementFailed)
	default:
		return false
	}
	return true
}

// count counts the attempt by its outcome.
func (r *replacementAttempt) count(outcome replacementOutcome) {
	r.attempts.relay.metrics.replacements.WithLabelValues(string(outcome)).Inc()
}

// cancel ends the attempt, whose answer is not needed.
func (r *replacementAttempt) cancel() {
	if r.isSent.Load() {
		r.count(replacementCancelled)
	}
	r.canceller.cancel()
	go func() {
		<-r.done
		if r.answer != nil {
			r.answer.abandon()
			r.slot.release(slotqueue.Result{})
		}
	}()
}

// outcome returns the failure of a replacement that has failed or was cancelled, and the error answer that it has brought. A
// cancelled one may have run the request.
func (r *replacementAttempt) outcome() (*failure, *fallbackAnswer) {
	select {
	case <-r.done:
		if r.fault != nil {
			return r.fault, r.fallback
		}
	default:
	}
	return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: errCancelled}, nil
}

// isReplacementStatus reports whether an answer with a status may replace the answer of a silent back end. A failure or a refusal
// does not: the silent back end may do better.
func isReplacementStatus(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		return false
	default:
		return status < fasthttp.StatusInternalServerError
	}
}

// preconnect opens a connection to a back end for its next request, and reports whether that succeeded.
func (r *Relay) preconnect(backEnd *backEnd) bool {
	connection, err := r.exchanger.open(backEnd, dialTimeout)
	if err != nil {
		if !r.path.pathTo(backEnd.Service).IsLost { // otherwise the back end may be sound
			backEnd.recordFailure(r.clock.now())
		}
		return false
	}
	backEnd.pool.Put(connection, r.clock.now())
	return true
}

// abandonSelection gives back a back end that was selected for an attempt that is not made.
func (r *Relay) abandonSelection(selection *backEndSelection) {
	selection.backEnd.removeWork(placement.Work{Streams: 1})
	r.placements.cancel(selection.assignment)
}
