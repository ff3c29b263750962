package relay

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// plainSlot is the slot that one attempt of a request holds. The zero value holds none.
type plainSlot struct {
	slots *slots.Slots
	grant slots.Grant
}

// release ends the use of the slot.
func (s plainSlot) release(result slotqueue.Result) {
	if s.slots != nil {
		s.slots.Release(s.grant, result)
	}
}

// slotResult returns how a back end has served a message, for the queue of the slots. isComplete is true if the answer was
// read and forwarded completely; otherwise the time that it took says nothing about the back end.
func slotResult(sent *message, fault *failure, isComplete bool, now time.Duration) slotqueue.Result {
	result := slotqueue.Result{Slowdown: relativeTime(sent.relativeTimePercent), TurnedAway: turnedAway(fault)}
	if fault == nil && isComplete {
		result.ServiceTime = now - sent.sentAt
	}
	return result
}

// turnedAway reports whether a failure shows that the back end serves no requests at the moment, so that the owner of the
// slots should grant no other slot of it for a while. Without this, a back end that fails at once would have free slots
// all the time and attract the requests of all relays.
func turnedAway(fault *failure) bool {
	if fault == nil {
		return false
	}
	for _, cause := range []error{errCancelled, errDeadline, errLimitReached, errErrorAnswer} {
		if errors.Is(fault, cause) {
			return false
		}
	}
	return true
}
