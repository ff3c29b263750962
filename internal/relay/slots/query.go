package slots

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	// repeatInterval is the time between two repetitions of a queued request. They find an answer that was lost, an owner
	// that is gone, and bring the request to a new owner.
	repeatInterval = 100 * time.Millisecond
	// maxMissedRepetitions is how many repetitions in a row may stay unanswered before the owner of a queued request is
	// given up: a single datagram may be lost, and the request would lose its place.
	maxMissedRepetitions = 2
)

// query is a request for a slot to one owner.
type query struct {
	slots   *Slots
	request *Request
	owner   string
	stop    <-chan struct{}
	number  uint64
	answers chan *v1.SlotAnswer
}

// run sends the request, and repeats it while it is queued, until there is a final answer. The answer is nil when the owner
// does not answer, or when isOver is true: the client has gone, or the deadline has passed.
func (q *query) run() (answer *v1.SlotAnswer, isOver bool) {
	allowedMisses := 1
	for misses := 0; misses < allowedMisses; {
		sentAt := q.slots.config.Now()
		q.send(false)
		answer, isOver = q.await(q.slots.config.AnswerTimeout())
		if isOver {
			return nil, true
		}
		q.slots.recordQuery(q.owner, answer != nil, sentAt)
		if answer == nil {
			misses++
			continue
		}
		misses, allowedMisses = 0, maxMissedRepetitions
		for isQueued(answer) {
			if answer, isOver = q.await(repeatInterval); isOver {
				return nil, true
			}
		}
		if answer != nil {
			return answer, false
		}
	}
	return nil, false
}

// isQueued reports whether an answer says that the request is queued.
func isQueued(answer *v1.SlotAnswer) bool {
	return answer.GetOutcome() == v1.SlotOutcome_SLOT_OUTCOME_QUEUED
}

// await waits for an answer for up to the given time. isOver is true if the client has gone or the deadline has passed.
func (q *query) await(limit time.Duration) (answer *v1.SlotAnswer, isOver bool) {
	left := q.request.DeadlineAt - q.slots.config.Now()
	timer := time.NewTimer(min(limit, left))
	defer timer.Stop()
	select {
	case answer := <-q.answers:
		return answer, false
	case <-q.stop:
		return nil, true
	case <-timer.C:
		return nil, left <= limit
	}
}

// send sends the request or, if isCancelled is true, withdraws it.
func (q *query) send(isCancelled bool) {
	id := slotqueue.RequestID{Relay: q.slots.config.Incarnation, Number: q.number}
	message := requestToWire(q.request, id, q.slots.config.Now())
	message.Cancelled = isCancelled
	q.slots.sendRequest(q.owner, message)
}

// finish ends the request and returns its outcome, which is Unavailable if another owner must be asked.
func (q *query) finish(answer *v1.SlotAnswer, isOver bool) (Grant, Outcome) {
	q.slots.queries.Close(q.number)
	service := q.request.Service
	if answer.GetOutcome() == v1.SlotOutcome_SLOT_OUTCOME_GRANTED {
		q.slots.holdings.hold(service, q.number, answer.GetBackEnd())
		return Grant{service: service, number: q.number, BackEnd: answer.GetBackEnd()}, Outcome{Kind: Granted}
	}
	q.slots.holdings.end(service, q.number)
	isRefused := answer.GetOutcome() == v1.SlotOutcome_SLOT_OUTCOME_REFUSED && slotqueue.Reason(answer.GetReason()) != slotqueue.ReasonNotAwaited
	if isRefused {
		return Grant{}, Outcome{Kind: Refused, RetryAfter: retryAfterFromWire(answer), Promised: answer.GetIsPromised()}
	}
	if answer == nil {
		q.send(true) // the owner may have queued or granted the request
	}
	if isOver {
		return Grant{}, Outcome{Kind: Abandoned}
	}
	return Grant{}, Outcome{Kind: Unavailable}
}
