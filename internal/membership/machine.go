package membership

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Machine is one back end as known to the tracker.
type Machine struct {
	Row enginecontract.Machine
	// Listed is true if the newest list contains the machine; LastListedAt is when a list last contained it.
	Listed       bool
	LastListedAt time.Duration
	// State is the state that the machine last reported; it was read no earlier than StateAt.
	State   *enginecontract.EngineState
	StateAt time.Duration
	// Load is its last load report, received at LoadAt.
	Load   *enginecontract.LoadReport
	LoadAt time.Duration

	isPageService bool
	pollInFlight  bool
	pollSentAt    time.Duration
	nextPollAt    time.Duration

	cachedDescription description
}

// LoadAge returns the age of the load report's readings.
func (m *Machine) LoadAge(now time.Duration) time.Duration {
	if m.Load == nil {
		return 0
	}
	return now - m.LoadAt + time.Duration(m.Load.AgeMs)*time.Millisecond
}

// backEndState returns whether the machine may receive new work, and the age of the reading that shows this; listAt is
// the time of the newest machine list, maximumAge the age above which a reading shows nothing.
func (m *Machine) backEndState(now, listAt, maximumAge time.Duration) (v1.BackEndState, time.Duration) {
	if m.Listed && m.Row.State == enginecontract.StateLeaving {
		return v1.BackEndState_BACK_END_STATE_LEAVING, 0
	}
	if m.isPageService {
		if !m.Listed || now-listAt > maximumAge {
			return v1.BackEndState_BACK_END_STATE_CHANGING, 0
		}
		return v1.BackEndState_BACK_END_STATE_SERVING, now - listAt
	}
	if m.isSilent(now, maximumAge) {
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

// isSilent reports whether an engine has not answered within maximumAge. Page services are not polled.
func (m *Machine) isSilent(now, maximumAge time.Duration) bool {
	return !m.isPageService && (m.State == nil || now-m.StateAt > maximumAge)
}
