package gatewaystate

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// directory is the list of this gateway's back ends that a controller last sent.
type directory struct {
	version  uint64
	backEnds []routing.BackEnd
}

// replace applies a directory that is based on the controllers' readings of the back ends' states, made at readAt or
// later. now is the time at which the answer arrived; the ages of loads count back from it. An unspecified state means
// that the controller has no current state of the back end: the last known entry is kept and marked as unconfirmed.
func (d *directory) replace(now, readAt time.Duration, next *v1.Directory) {
	known := map[string]routing.BackEnd{}
	for _, backEnd := range d.backEnds {
		known[backEnd.Name] = backEnd
	}
	d.version = next.GetVersion()
	d.backEnds = make([]routing.BackEnd, 0, len(next.GetBackEnds()))
	for _, listed := range next.GetBackEnds() {
		backEnd := backEndOf(now, readAt, listed)
		if listed.GetState() == v1.BackEndState_BACK_END_STATE_UNSPECIFIED {
			if previous, ok := known[backEnd.Name]; ok {
				backEnd = previous
			}
			backEnd.Unconfirmed = true
		}
		d.backEnds = append(d.backEnds, backEnd)
	}
}

// confirm records that readings made at readAt or later still match the directory.
func (d *directory) confirm(readAt time.Duration) {
	for i := range d.backEnds {
		if d.backEnds[i].Unconfirmed {
			continue
		}
		d.backEnds[i].ConfirmedAt = max(d.backEnds[i].ConfirmedAt, readAt)
	}
}

func backEndOf(now, readAt time.Duration, listed *v1.BackEnd) routing.BackEnd {
	return routing.BackEnd{
		Name:        listed.GetName(),
		Service:     listed.GetService(),
		Zone:        listed.GetZone(),
		Address:     listed.GetAddress(),
		Incarnation: listed.GetIncarnation(),
		State:       serviceState(listed.GetState()),
		Role:        engineroles.ToContract(listed.GetRole()),
		Model:       listed.GetModel(),
		Version:     listed.GetVersion(),
		Adapters:    listed.GetAdapters(),
		ConfirmedAt: readAt,
		HasLoad:     listed.GetLoad() != nil,
		LoadAt:      now - time.Duration(listed.GetLoadAgeMs())*time.Millisecond,
		Load: routing.Load{
			Running:             int(listed.GetLoad().GetRunning()),
			Waiting:             int(listed.GetLoad().GetWaiting()),
			WaitingPromptTokens: int64(listed.GetLoad().GetWaitingPromptTokens()),
		},
	}
}

// serviceState converts a state; an unknown state counts as not serving.
func serviceState(state v1.BackEndState) enginecontract.ServiceState {
	switch state {
	case v1.BackEndState_BACK_END_STATE_SERVING:
		return enginecontract.StateServing
	case v1.BackEndState_BACK_END_STATE_LEAVING:
		return enginecontract.StateLeaving
	default:
		return enginecontract.StateChanging
	}
}
