package slotqueue

import (
	"cmp"
	"slices"
	"time"
)

// backEndTable holds the listed back ends of the service.
type backEndTable struct {
	byHash map[uint64]*backEndState
	// ordered are the back ends by hash.
	ordered []*backEndState
	// openSlots is the number of slots of the back ends that are not closed.
	openSlots int
}

// set replaces the list. The state of back ends that are still listed is kept.
func (t *backEndTable) set(backEnds []BackEnd) {
	previous := t.byHash
	t.byHash = make(map[uint64]*backEndState, len(backEnds))
	t.ordered, t.openSlots = nil, 0
	for _, listed := range backEnds {
		if t.byHash[listed.Hash] != nil {
			continue
		}
		state := previous[listed.Hash]
		if state == nil {
			state = &backEndState{}
		}
		state.BackEnd = listed
		t.byHash[listed.Hash] = state
		t.ordered = append(t.ordered, state)
		if !listed.Closed {
			t.openSlots += max(listed.Slots, 0)
		}
	}
	slices.SortFunc(t.ordered, func(a, b *backEndState) int { return cmp.Compare(a.Hash, b.Hash) })
}

// usable returns the back ends that may get a grant.
func (t *backEndTable) usable(now time.Duration, held map[uint64]int) []*backEndState {
	var usable []*backEndState
	for _, state := range t.ordered {
		if state.isUsable(now, held[state.Hash]) {
			usable = append(usable, state)
		}
	}
	return usable
}

// areAllExcluded reports whether there are open back ends and all of them are excluded.
func (t *backEndTable) areAllExcluded(excluded []uint64) bool {
	if len(excluded) == 0 || t.openSlots == 0 {
		return false
	}
	for _, state := range t.ordered {
		if !state.Closed && state.Slots > 0 && !slices.Contains(excluded, state.Hash) {
			return false
		}
	}
	return true
}

// firstUnblockedAfter returns the first end of a back end's block after the given time.
func (t *backEndTable) firstUnblockedAfter(after time.Duration) (at time.Duration, found bool) {
	for _, state := range t.ordered {
		if state.blockedUntil > after && (!found || state.blockedUntil < at) {
			at, found = state.blockedUntil, true
		}
	}
	return at, found
}

// leastLoaded returns the usable back end with the lowest load that is not excluded; nil if there is none.
func leastLoaded(now time.Duration, usable []*backEndState, held map[uint64]int, excluded []uint64) *backEndState {
	var chosen *backEndState
	lowest := 0.0
	for _, state := range usable {
		load := state.loadWithOneMore(now, held[state.Hash])
		if !slices.Contains(excluded, state.Hash) && (chosen == nil || load < lowest) {
			chosen, lowest = state, load
		}
	}
	return chosen
}
