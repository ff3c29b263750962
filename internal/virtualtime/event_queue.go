// Package virtualtime provides the event queue of simulations in virtual time. Only the test tool hazelbench uses it.
package virtualtime

import (
	"container/heap"
	"time"
)

// EventQueue holds actions that are due at later virtual times. Actions with equal times run in the order
// in which they were scheduled. The zero value is empty and ready to use. It must be used by one goroutine
// only.
type EventQueue struct {
	events   eventHeap
	sequence int
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(added any) { *h = append(*h, added.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// Schedule adds an action that is due at a virtual time.
func (q *EventQueue) Schedule(at time.Duration, action func()) {
	q.sequence++
	heap.Push(&q.events, event{at: at, sequence: q.sequence, action: action})
}

// NextTime returns the time of the earliest action; false if there is none.
func (q *EventQueue) NextTime() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// RunUntil runs all actions that are due by now, in order, including those that they schedule.
func (q *EventQueue) RunUntil(now time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= now {
		heap.Pop(&q.events).(event).action()
	}
}
