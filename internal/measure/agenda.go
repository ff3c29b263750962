package measure

import (
	"container/heap"
	"time"
)

// agenda holds what is to be done at later times; equal times go in order of entry.
type agenda struct {
	items    agendaItems
	sequence int
}

type agendaItem struct {
	at       time.Duration
	sequence int
	action   func()
}

type agendaItems []agendaItem

func (a agendaItems) Len() int { return len(a) }

func (a agendaItems) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].sequence < a[j].sequence
}

func (a agendaItems) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agendaItems) Push(item any) { *a = append(*a, item.(agendaItem)) }

// Pop implements heap.Interface.
func (a *agendaItems) Pop() any {
	last := len(*a) - 1
	item := (*a)[last]
	*a = (*a)[:last]
	return item
}

func (a *agenda) add(at time.Duration, action func()) {
	a.sequence++
	heap.Push(&a.items, agendaItem{at: at, sequence: a.sequence, action: action})
}

// next is the time of the first item.
func (a *agenda) next() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// runUntil does everything due up to the time.
func (a *agenda) runUntil(now time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= now {
		heap.Pop(&a.items).(agendaItem).action()
	}
}
