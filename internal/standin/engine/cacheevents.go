package engine

import (
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// cacheHistoryLength limits the stored events; older ones are dropped and leave a gap.
const cacheHistoryLength = 4096

// cacheHistory stores cache events, so that they can be returned with a lag.
type cacheHistory struct {
	events []timedCacheEvent
	next   uint64
}

type timedCacheEvent struct {
	at    time.Duration
	event enginecontract.CacheEvent
}

// add numbers and stores new events; an event whose number is a multiple of gap is dropped.
func (h *cacheHistory) add(now time.Duration, events []enginemodel.CacheEvent, gap int) {
	for _, event := range events {
		h.next++
		if gap > 0 && h.next%uint64(gap) == 0 {
			continue
		}
		h.events = append(h.events, timedCacheEvent{now, enginecontract.CacheEvent{
			Sequence: h.next, Stored: event.Stored, Block: strconv.FormatUint(event.Block, 16),
		}})
	}
	if excess := len(h.events) - cacheHistoryLength; excess > 0 {
		h.events = append(h.events[:0], h.events[excess:]...)
	}
}

// after returns the events whose number is larger than the given one and that are at least as old as lag.
func (h *cacheHistory) after(number uint64, now, lag time.Duration) enginecontract.CacheEvents {
	answer := enginecontract.CacheEvents{Events: []enginecontract.CacheEvent{}, Next: number}
	for _, stored := range h.events {
		if stored.event.Sequence > number && now-stored.at >= lag {
			answer.Events = append(answer.Events, stored.event)
			answer.Next = stored.event.Sequence
		}
	}
	return answer
}
