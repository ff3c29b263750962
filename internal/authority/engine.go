package authority

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// engine is what a Commander knows of one engine beyond the log.
type engine struct {
	name    string
	address string
	listed  bool
	// heard: last is the engine's own word, read at the engine no earlier than heardAt.
	heard   bool
	last    enginecontract.EngineState
	heardAt time.Duration
	// answeredAt is the arrival of the last answer to an order or fence; polls sent
	// earlier are older than what that answer said.
	answeredAt time.Duration

	// fencedEpoch is the epoch whose fence the engine's process is known to hold.
	fencedEpoch       uint64
	fencedIncarnation uint64
	fenceInFlight     bool
	nextFenceAt       time.Duration

	orderInFlight enginecontract.Fence
	nextOrderAt   time.Duration
	// refused and refusal are the engine's final answer to an order.
	refused enginecontract.Fence
	refusal enginecontract.OrderRefusal

	// proposedAt is when something about this engine was last proposed and has
	// shown no effect yet; zero when nothing is pending.
	proposalPending bool
	proposedAt      time.Duration
	// ordering is the order that is being committed; its kind counts against bounds.
	ordering *pendingOrder
}

// pendingOrder is an order proposed and not seen in the log yet.
type pendingOrder struct {
	at     time.Duration
	out    bool
	loads  bool
	target enginecontract.Role
}

// take records the engine's own word unless an older one arrives late: the highest
// fence and the incarnation never go back.
func (e *engine) take(at time.Duration, state enginecontract.EngineState) {
	if e.heard {
		if state.Incarnation < e.last.Incarnation {
			return
		}
		if state.Incarnation == e.last.Incarnation && state.HighestFence.Less(e.last.HighestFence) {
			return
		}
		if at < e.heardAt {
			return
		}
	}
	e.heard = true
	e.last = state
	e.heardAt = at
}

// placed returns the service and the zone of the engine by its own word or, before
// this leader has heard it, by the log: an order that an earlier leader gave it may
// be under way.
func (e *engine) placed(record *v1.EngineRecord) (service, zone string) {
	if e.heard {
		return e.last.Service, e.last.Zone
	}
	return record.GetState().GetService(), record.GetState().GetZone()
}

// fenced reports whether the engine's present process holds the epoch's fence.
func (e *engine) fenced(epoch uint64) bool {
	return e.fencedEpoch == epoch && e.heard && e.fencedIncarnation == e.last.Incarnation
}
