package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// waitingWatch is a relay's question that waits for something new, or for its time to pass.
type waitingWatch struct {
	call    CallID
	request *v1.WatchRequest
	dueAt   time.Duration
}

// waitingWatches are the questions that wait. One that has waited long enough is found without a look at
// the others: as many relays ask as there are, each once a second or so.
type waitingWatches struct{ byDue watchHeap }

// add lets a question wait.
func (w *waitingWatches) add(waiting *waitingWatch) { heap.Push(&w.byDue, waiting) }

// takeDue takes the questions that have waited long enough, the first due first.
func (w *waitingWatches) takeDue(now time.Duration) []*waitingWatch {
	var due []*waitingWatch
	for len(w.byDue) > 0 && now >= w.byDue[0].dueAt {
		due = append(due, heap.Pop(&w.byDue).(*waitingWatch))
	}
	return due
}

// takeIf takes the questions for which the condition holds, in the order in which they came.
func (w *waitingWatches) takeIf(condition func(*v1.WatchRequest) bool) []*waitingWatch {
	var taken, kept []*waitingWatch
	for _, waiting := range w.byDue {
		if condition(waiting.request) {
			taken = append(taken, waiting)
		} else {
			kept = append(kept, waiting)
		}
	}
	w.byDue = kept
	heap.Init(&w.byDue)
	slices.SortFunc(taken, func(a, b *waitingWatch) int { return cmp.Compare(a.call, b.call) })
	return taken
}

// watchHeap has the question that is due first at its top.
type watchHeap []*waitingWatch

// Len implements heap.Interface.
func (h watchHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h watchHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].dueAt, h[j].dueAt), cmp.Compare(h[i].call, h[j].call)) < 0
}

// Swap implements heap.Interface.
func (h watchHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *watchHeap) Push(waiting any) { *h = append(*h, waiting.(*waitingWatch)) }

// Pop implements heap.Interface.
func (h *watchHeap) Pop() any {
	last := len(*h) - 1
	waiting := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return waiting
}
