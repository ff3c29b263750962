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
	// superseded tells that the relay has given it up and asked again.
	superseded bool
}

// waitingWatches are the questions that wait. One that has waited long enough is found without a look at
// the others: as many relays ask as there are, each once a second or so.
type waitingWatches struct {
	// byDue are those for which there was nothing new.
	byDue watchHeap
	// ready are those for which there may be news, the first due first.
	ready []*waitingWatch
	// latest is the latest question of each start of a relay.
	latest map[uint64]*waitingWatch
}

// register takes a question. An earlier one of the same start of the same relay was given up: to answer it would
// cost as much and reach nobody.
func (w *waitingWatches) register(waiting *waitingWatch) {
	start := waiting.request.GetNode().GetIncarnation()
	if start == 0 {
		return
	}
	if w.latest == nil {
		w.latest = map[uint64]*waitingWatch{}
	}
	if former := w.latest[start]; former != nil {
		former.superseded = true
	}
	w.latest[start] = waiting
}

// unregister forgets a question that is answered.
func (w *waitingWatches) unregister(waiting *waitingWatch) {
	start := waiting.request.GetNode().GetIncarnation()
	if w.latest[start] == waiting {
		delete(w.latest, start)
	}
}

// addWaiting lets a question wait for something new.
func (w *waitingWatches) addWaiting(waiting *waitingWatch) { heap.Push(&w.byDue, waiting) }

// addReady lets a question wait until it can be answered.
func (w *waitingWatches) addReady(waiting *waitingWatch) { w.ready = append(w.ready, waiting) }

// markAllReady says that there may be something new for all that wait.
func (w *waitingWatches) markAllReady() {
	slices.SortFunc(w.byDue, w.byDue.compare)
	w.ready = append(w.ready, w.byDue...)
	w.byDue = nil
}

// popReady takes questions for which there is news, as long as more may be answered, and those of them
// that have waited long enough all the same. Others wait on.
func (w *waitingWatches) popReady(now time.Duration, hasUpdate func(*v1.WatchRequest) bool, mayAnswer func() bool) []*waitingWatch {
	var taken []*waitingWatch
	for len(w.ready) > 0 {
		first := w.ready[0]
		if first.superseded {
			w.unregister(first)
		} else if !hasUpdate(first.request) {
			w.addWaiting(first)
		} else if now >= first.dueAt || mayAnswer() {
			w.unregister(first)
			taken = append(taken, first)
		} else {
			break
		}
		w.ready[0] = nil
		w.ready = w.ready[1:]
	}
	return taken
}

// popDue takes the questions that have waited long enough for something new, the first due first.
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

// watchHeap has the question that is due first at its top.
type watchHeap []*waitingWatch

// Len implements heap.Interface.
func (h watchHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h watchHeap) Less(i, j int) bool { return h.compare(h[i], h[j]) < 0 }

// compare orders questions by when they are due.
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
