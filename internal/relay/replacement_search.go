package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// searchLifetime is how long the result of a search may be used. The owner of an engine may have dropped its reservation by
// then; the engine was free a moment before, and refuses the request if it is full.
const searchLifetime = 500 * time.Millisecond

// findBackEnd selects the back end of the next attempt and counts the attempt there; it returns nil when there is none.
type findBackEnd func() *backEndSelection

// prepareSearch returns the search for one of the usable back ends; nil if it would find none. excluded holds the hashes of
// the others.
type prepareSearch func(usable []*backEnd, excluded []uint64) findBackEnd

// replacementSearch is the search for the back end of the next attempt while the current back end is silent. The back end is
// connected to before the current exchange is ended: it may stand still as well, which nothing else shows.
type replacementSearch struct {
	// done is closed at the end of the search. Then selection is the selected back end, nil for none.
	done      chan struct{}
	selection *backEndSelection
	endedAt   time.Duration
}

// startReplacementSearch starts a search and calls onEnd at its end.
func (r *Relay) startReplacementSearch(find findBackEnd, onEnd func()) *replacementSearch {
	search := &replacementSearch{done: make(chan struct{})}
	go func() {
		selection := find()
		if selection != nil && !r.preconnect(selection.backEnd) {
			r.abandonSelection(selection)
			selection = nil
		}
		search.selection, search.endedAt = selection, r.clock.now()
		close(search.done)
		onEnd()
	}()
	return search
}

// preconnect opens a connection to a back end for its next request, and reports whether that succeeded.
func (r *Relay) preconnect(backEnd *backEnd) bool {
	connection, err := r.exchanger.open(backEnd, dialTimeout)
	if err != nil {
		if !r.path.pathTo(backEnd.Service).IsLost { // otherwise the back end may be sound
			backEnd.recordFailure(r.clock.now())
		}
		return false
	}
	backEnd.pool.Put(connection, r.clock.now())
	return true
}

// searchResult returns the result of a search, nil for none, and whether the search has ended. A result that is too old is
// given back.
func (r *Relay) searchResult(search *replacementSearch) (selection *backEndSelection, isDone bool) {
	select {
	case <-search.done:
	default:
		return nil, false
	}
	if selection = search.selection; selection != nil && r.clock.now()-search.endedAt > searchLifetime {
		r.abandonSelection(selection)
		return nil, true
	}
	return selection, true
}

// abandonSearch waits for the end of a search and gives its result back.
func (r *Relay) abandonSearch(search *replacementSearch) {
	<-search.done
	if search.selection != nil {
		r.abandonSelection(search.selection)
	}
}

// abandonSelection gives back a back end that was selected for an attempt that is not made.
func (r *Relay) abandonSelection(selection *backEndSelection) {
	selection.backEnd.removeWork(placement.Work{Streams: 1})
	r.placements.cancel(selection.assignment)
}
