package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Duration
	order uint64 // events with the same time run in the order in which they were scheduled
	do    func()
}

// eventHeap orders events by time.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return value
}

// scheduler keeps the virtual time, which jumps from event to event.
type scheduler struct {
	now     time.Duration
	events  eventHeap
	created uint64
}

// after schedules an event after a delay.
func (s *scheduler) after(delay time.Duration, do func()) {
	s.created++
	heap.Push(&s.events, event{at: s.now + max(delay, 0), order: s.created, do: do})
}

// step runs the next event and reports whether there was one.
func (s *scheduler) step() bool {
	if len(s.events) == 0 {
		return false
	}
	next := heap.Pop(&s.events).(event)
	s.now = next.at
	next.do()
	return true
}
