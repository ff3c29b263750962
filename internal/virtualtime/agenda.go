// Package virtualtime holds what simulations in virtual time share. It belongs to the
// bench.
package virtualtime

import (
	"container/heap"
	"time"
)

// EventQueue holds what is to be done at later times; equal times go in order of entry.
// The zero value is empty and ready to use. It belongs to one goroutine.
type EventQueue struct {
	items    items
	sequence int
}

type item struct {
	at       time.Duration
	sequence int
	action   func()
}

type items []item

func (a items) Len() int { return len(a) }

func (a items) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].sequence < a[j].sequence
}

func (a items) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *items) Push(added any) { *a = append(*a, added.(item)) }

// Pop implements heap.Interface.
func (a *items) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}

// Schedule enters an action at a time.
func (a *EventQueue) Schedule(at time.Duration, action func()) {
	a.sequence++
	heap.Push(&a.items, item{at: at, sequence: a.sequence, action: action})
}

// NextTime is the time of the first action; false when there is none.
func (a *EventQueue) NextTime() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// RunUntil does everything due up to the time, in order, and what that enters.
func (a *EventQueue) RunUntil(now time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= now {
		heap.Pop(&a.items).(item).action()
	}
}
