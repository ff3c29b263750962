package slotqueue

import "time"

// maximumRelays is the number of relays whose reports a Queue applies: several times the largest expected fleet.
const maximumRelays = 4096

// relayState is what a Queue knows of one incarnation of a relay.
type relayState struct {
	// sequence and answeredUpTo are those of its last report, which arrived at reportedAt.
	sequence, answeredUpTo uint64
	hasReported            bool
	reportedAt             time.Duration
	// held and queued are the relay's grants and queued requests by number.
	held   map[uint64]*grant
	queued map[uint64]*entry
}

func (s *relayState) isIdle() bool { return len(s.held) == 0 && len(s.queued) == 0 }

// relayTable holds the relays that have reported recently, hold slots or have queued requests.
type relayTable struct {
	relays  map[uint64]*relayState
	sweptAt time.Duration
}

func newRelayTable() *relayTable { return &relayTable{relays: make(map[uint64]*relayState)} }

// state returns the state of a relay, a new one if it has none.
func (t *relayTable) state(relay uint64) *relayState {
	found, exists := t.relays[relay]
	if !exists {
		found = &relayState{held: make(map[uint64]*grant), queued: make(map[uint64]*entry)}
		t.relays[relay] = found
	}
	return found
}

// dropIfUnused drops the state of a relay that has not reported, holds no slot and has no queued request.
func (t *relayTable) dropIfUnused(relay uint64) {
	state, exists := t.relays[relay]
	if exists && !state.hasReported && state.isIdle() {
		delete(t.relays, relay)
	}
}

// admits reports whether a report of a relay may be applied within the bound of the table.
func (t *relayTable) admits(now time.Duration, relay uint64) bool {
	if t.relays[relay] == nil && len(t.relays) >= maximumRelays {
		t.sweep(now)
	}
	return t.relays[relay] != nil || len(t.relays) < maximumRelays
}

// sweep drops idle relays that have been silent for relaySilence, at most once in that time.
func (t *relayTable) sweep(now time.Duration) {
	if now-t.sweptAt < relaySilence {
		return
	}
	t.sweptAt = now
	for relay, state := range t.relays {
		if state.isIdle() && now-state.reportedAt >= relaySilence {
			delete(t.relays, relay)
		}
	}
}

// hasFinalAnswer reports whether a relay has had the final answer to a request, by its last report.
func (t *relayTable) hasFinalAnswer(id RequestID) bool {
	state, exists := t.relays[id.Relay]
	return exists && state.hasReported && id.Number <= state.answeredUpTo
}
