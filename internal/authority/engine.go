package authority

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// engine is a Commander's state of one engine beyond what the log records.
type engine struct {
	name    string
	address string
	listed  bool
	// hasState is true once state holds a state that the engine reported; the engine read it no earlier than stateAt.
	hasState bool
	state    enginecontract.EngineState
	stateAt  time.Duration
	// lastAnswerAt is the arrival time of the last answer to an order or fence. The results of polls
	// sent earlier are ignored, because they are older than that answer.
	lastAnswerAt time.Duration

	// fencedEpoch is the newest epoch whose fence the engine process has confirmed.
	fencedEpoch       uint64
	fencedIncarnation uint64
	fenceInFlight     bool
	nextFenceAt       time.Duration

	orderInFlight enginecontract.Fence
	nextOrderAt   time.Duration
	// refusedFence identifies the order that the engine refused last; refusal is the reason.
	refusedFence enginecontract.Fence
	refusal      enginecontract.OrderRefusal

	// proposalPending is true from proposedAt, when a command about this engine was proposed, until
	// that command is applied or times out.
	proposalPending bool
	proposedAt      time.Duration
	// pendingOrder is the proposed order that is not committed yet, or nil. It counts against the declared bounds.
	pendingOrder *pendingOrder
}

// pendingOrder is an order that was proposed and that the log's state does not contain yet.
type pendingOrder struct {
	proposedAt   time.Duration
	outOfService bool
	loadsWeights bool
	targetRole   enginecontract.Role
}

// recordState records a state reported by the engine unless an older one arrives late: the highest
// fence and the incarnation never decrease.
func (e *engine) recordState(at time.Duration, state enginecontract.EngineState) {
	if e.hasState {
		if state.Incarnation < e.state.Incarnation {
			return
		}
		if state.Incarnation == e.state.Incarnation && state.HighestFence.Less(e.state.HighestFence) {
			return
		}
		if at < e.stateAt {
			return
		}
	}
	e.hasState = true
	e.state = state
	e.stateAt = at
}

// location returns the service and zone that the engine reported or, before its first report to this
// leader, those recorded in the log: the engine may be carrying out an order of an earlier leader.
func (e *engine) location(record *v1.EngineRecord) (service, zone string) {
	if e.hasState {
		return e.state.Service, e.state.Zone
	}
	return record.GetState().GetService(), record.GetState().GetZone()
}

// isFenced reports whether the engine's current process has confirmed the fence of the epoch.
func (e *engine) isFenced(epoch uint64) bool {
	return e.fencedEpoch == epoch && e.hasState && e.fencedIncarnation == e.state.Incarnation
}
