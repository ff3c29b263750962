package serving

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// stageRoles maps stages to the roles of the internal protocol.
var stageRoles = map[Stage]v1.Role{
	StageWhole:   v1.Role_ROLE_UNSPECIFIED,
	StagePrefill: v1.Role_ROLE_PREFILL,
	StageDecode:  v1.Role_ROLE_DECODE,
}

// ToProto returns the back end in the form that controllers send to relays.
func (b BackEnd) ToProto() *v1.ListedBackEnd {
	return &v1.ListedBackEnd{
		Id: b.ID, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: uint32(max(b.Slots, 0)),
		Leaving: b.Leaving, Changing: b.Changing, ColdMs: uint32(max(b.ColdRemaining.Milliseconds(), 0)), Role: stageRoles[b.Stage], Models: b.Models,
		Spot: b.Spot, Replica: b.Replica, BornMs: b.StartedAtMs, Software: b.Software,
	}
}

// BackEndFromProto is the inverse of ToProto.
func BackEndFromProto(listed *v1.ListedBackEnd) BackEnd {
	backEnd := BackEnd{
		ID: listed.GetId(), Service: listed.GetService(), Address: listed.GetAddress(), Zone: listed.GetZone(),
		Slots: int(listed.GetSlots()), Leaving: listed.GetLeaving(),
		Spot: listed.GetSpot(), Replica: listed.GetReplica(), StartedAtMs: listed.GetBornMs(),
		ColdRemaining: time.Duration(listed.GetColdMs()) * time.Millisecond, Models: listed.GetModels(), Software: listed.GetSoftware(),
	}
	backEnd.Changing = listed.GetChanging()
	backEnd.Stage = StageOfRole(listed.GetRole())
	return backEnd
}

// StageOfRole returns the stage for a role of the internal protocol.
func StageOfRole(role v1.Role) Stage {
	for stage, known := range stageRoles {
		if known == role {
			return stage
		}
	}
	return StageWhole
}
