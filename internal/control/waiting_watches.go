package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// waitingWatch is a relay's watch that waits for an update or until it is due.
type waitingWatch struct {
	call    CallID
	request *v1.WatchRequest
	dueAt   time.Duration
	// superseded is true if the relay has given up this watch and sent another one.
	superseded bool
}

// waitingWatches holds the watches that wait. Due watches are found without examining the others, because each relay
// sends about one watch a second.
type waitingWatches struct {
	// byDue are the watches that wait for an update, ordered by the times at which they are due.
	byDue watchHeap
	// ready are the watches for which there may be an update, the first due first.
	ready []*waitingWatch
	// latest is the latest watch of each incarnation of a relay.
	latest map[uint64]*waitingWatch
}

// register adds a watch. The relay has given up an earlier watch of the same incarnation: that watch is not answered, since
// its answer would cost as much as any other and would not be received.
func (w *waitingWatches) register(waiting *waitingWatch) {
	incarnation := waiting.request.GetNode().GetIncarnation()
	if incarnation == 0 {
		return
	}
	if w.latest == nil {
		w.latest = map[uint64]*waitingWatch{}
	}
	if former := w.latest[incarnation]; former != nil {
		former.superseded = true
	}
	w.latest[incarnation] = waiting
}

// unregister removes a watch that is answered.
func (w *waitingWatches) unregister(waiting *waitingWatch) {
	incarnation := waiting.request.GetNode().GetIncarnation()
	if w.latest[incarnation] == waiting {
		delete(w.latest, incarnation)
	}
}

// addWaiting makes a watch wait for an update.
func (w *waitingWatches) addWaiting(waiting *waitingWatch) { heap.Push(&w.byDue, waiting) }

// addReady adds a watch for which there may be an update, so that popReady examines it.
func (w *waitingWatches) addReady(waiting *waitingWatch) { w.ready = append(w.ready, waiting) }

// markAllReady makes all watches ready, because there may be an update for each of them.
func (w *waitingWatches) markAllReady() {
	slices.SortFunc(w.byDue, w.byDue.compare)
	w.ready = append(w.ready, w.byDue...)
	w.byDue = nil
}

// popReady returns the ready watches that have an update, as long as mayAnswer returns true, and beyond that those that
// are due. Ready watches without an update go back to waiting.
func (w *waitingWatches) popReady(now time.Duration, hasUpdate func(*v1.WatchRequest) bool, mayAnswer func() bool) []*waitingWatch {
	var popped []*waitingWatch
	for len(w.ready) > 0 {
		first := w.ready[0]
		if first.superseded {
			w.unregister(first)
		} else if !hasUpdate(first.request) {
			w.addWaiting(first)
		} else if now >= first.dueAt || mayAnswer() {
			w.unregister(first)
			popped = append(popped, first)
		} else {
			break
		}
		w.ready[0] = nil
		w.ready = w.ready[1:]
	}
	return popped
}

// popDue returns the watches that are due, the first due first.
func (w *waitingWatches) popDue(now time.Duration) []*waitingWatch {
	var due []*waitingWatch
	for len(w.byDue) > 0 && now >= w.byDue[0].dueAt {
		waited := heap.Pop(&w.byDue).(*waitingWatch)
		w.unregister(waited)
		if !waited.superseded {
			due = append(due, waited)
		}
	}
	return due
}

// watchHeap is a heap with the watch that is due first at its top.
type watchHeap []*waitingWatch

// Len implements heap.Interface.
func (h watchHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h watchHeap) Less(i, j int) bool { return h.compare(h[i], h[j]) < 0 }

// compare orders watches by when they are due.
func (watchHeap) compare(a, b *waitingWatch) int {
	return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.call, b.call))
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
