package membership

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Machine is one back end as the tracker knows it.
type Machine struct {
	Row enginecontract.Machine
	// Listed: the newest list has the machine; SeenAt is when a list last had it.
	Listed       bool
	LastListedAt time.Duration
	// State is the machine's own last word, read no earlier than AnsweredAt.
	State   *enginecontract.EngineState
	StateAt time.Duration
	// Load is its last load report, received at LoadAt.
	Load   *enginecontract.LoadReport
	LoadAt time.Duration

	page         bool
	pollInFlight bool
	pollSentAt   time.Duration
	nextPollAt   time.Duration

	described description
}

// LoadAge is how old the load report's readings are.
func (m *Machine) LoadAge(now time.Duration) time.Duration {
	if m.Load == nil {
		return 0
	}
	return now - m.LoadAt + time.Duration(m.Load.AgeMs)*time.Millisecond
}

// backEndState tells whether the machine may receive new work, and the age of the
// reading that says so.
func (m *Machine) backEndState(now, listAt, freshness time.Duration) (v1.BackEndState, time.Duration) {
	if m.Listed && m.Row.State == enginecontract.StateLeaving {
		return v1.BackEndState_BACK_END_STATE_LEAVING, 0
	}
	if m.page {
		if !m.Listed || now-listAt > freshness {
			return v1.BackEndState_BACK_END_STATE_CHANGING, 0
		}
		return v1.BackEndState_BACK_END_STATE_SERVING, now - listAt
	}
	if m.silent(now, freshness) {
		return v1.BackEndState_BACK_END_STATE_CHANGING, 0
	}
	switch m.State.State {
	case enginecontract.StateServing:
		return v1.BackEndState_BACK_END_STATE_SERVING, now - m.StateAt
	case enginecontract.StateLeaving:
		return v1.BackEndState_BACK_END_STATE_LEAVING, 0
	default:
		return v1.BackEndState_BACK_END_STATE_CHANGING, 0
	}
}

// silent reports whether an engine has not answered lately. Page services are not asked.
func (m *Machine) silent(now, freshness time.Duration) bool {
	return !m.page && (m.State == nil || now-m.StateAt > freshness)
}
