package scale

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Measure counts what the fleet uses over a window.
func (f *Fleet) Measure(ctx context.Context, window time.Duration, traffic *Traffic) (*Measurement, error) {
	leader, err := f.Leader(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	begun, refused, claimed := traffic.Begun.Load(), traffic.Refused.Load(), traffic.Claimed.Load()
	before, err := f.read(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	profiles, err := f.profileWindow(ctx, window, leader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	after, err := f.read(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	measured := &Measurement{Plan: f.Plan, Seconds: after.at.Sub(before.at).Seconds(), Profile: profiles}
	measured.Traffic = TrafficCounts{
		Begun: traffic.Begun.Load() - begun, Refused: traffic.Refused.Load() - refused,
		Claimed: traffic.Claimed.Load() - claimed, Refusals: traffic.Refusals(),
		Distance: Distances{Zone: traffic.Local.Load(), Region: traffic.Zones.Load(), Far: traffic.Regions.Load()},
		HandOver: Distances{Zone: traffic.PairsLocal.Load(), Region: traffic.PairsZones.Load(), Far: traffic.PairsRegions.Load()},
	}
	measured.LeaderChanges = after.controllers[leader].sum("hazelpitch_controller_term") - before.controllers[leader].sum("hazelpitch_controller_term")
	measured.Revision = uint64(after.controllers[leader].sum("hazelpitch_controller_revision"))
	f.addGateways(measured, before, after)
	f.addControllers(measured, before, after, leader)
	f.addEngines(measured, before, after)
	return measured, nil
}

// separate reports whether the members are processes of their own.
func (f *Fleet) separate() bool { return f.engines.pid() != 0 }

func (f *Fleet) roleOf(controller, leader int) Role {
	switch {
	case controller == leader:
		return RoleLeader
	case controller < f.Plan.Controllers:
		return RoleVoter
	default:
		return RoleStandby
	}
}

func (f *Fleet) addGateways(measured *Measurement, before, after *reading) {
	usage := RoleUsage{Role: RoleGateway, Count: len(f.Nodes), Processor: -1, Resident: heapBytes() / int64(len(f.Nodes))}
	if f.separate() {
		usage.Processor = (after.own - before.own).Seconds() / measured.Seconds / float64(len(f.Nodes))
	}
	for number := range f.Nodes {
		received := float64(after.nodes[number].received-before.nodes[number].received) / measured.Seconds
		sent := float64(after.nodes[number].sent-before.nodes[number].sent) / measured.Seconds
		usage.Received += received / float64(len(f.Nodes))
		usage.Sent += sent / float64(len(f.Nodes))
		usage.Largest = max(usage.Largest, received+sent)
	}
	measured.Roles = append(measured.Roles, usage)
}

func (f *Fleet) addEngines(measured *Measurement, before, after *reading) {
	usage := RoleUsage{Role: RoleEngine, Count: f.Plan.Replicas, Processor: -1}
	if pid := f.engines.pid(); pid != 0 {
		usage.Processor = (after.engines - before.engines).Seconds() / measured.Seconds / float64(f.Plan.Replicas)
		usage.Resident = residentBytes(pid) / int64(f.Plan.Replicas)
	}
	measured.Roles = append(measured.Roles, usage)
}

// addControllers adds the roles and duties of the controllers.
func (f *Fleet) addControllers(measured *Measurement, before, after *reading, leader int) {
	for _, role := range controllerRoles {
		usage := RoleUsage{Role: role, Processor: -1}
		duties := map[string]*DutyUsage{}
		for controller := range f.controllers {
			if f.roleOf(controller, leader) != role {
				continue
			}
			usage.Count++
			f.addController(&usage, measured.Seconds, before, after, controller)
			addDuties(duties, before.controllers[controller], after.controllers[controller], measured.Seconds)
		}
		if usage.Count == 0 {
			continue
		}
		usage.average()
		measured.Roles = append(measured.Roles, usage)
		for _, name := range slices.Sorted(maps.Keys(duties)) {
			measured.Duties = append(measured.Duties, duties[name].average(role, name, usage.Count))
		}
	}
}

func (f *Fleet) addController(usage *RoleUsage, seconds float64, before, after *reading, controller int) {
	if pid := f.controllers[controller].pid(); pid != 0 {
		usage.Processor = max(usage.Processor, 0) + (after.processor[controller]-before.processor[controller]).Seconds()/seconds
		usage.Resident += residentBytes(pid)
	}
	usage.Disk += directoryBytes(filepath.Join(f.directory, ControllerName(controller)))
	const wire = "hazelpitch_controller_wire_bytes_total"
	received := after.controllers[controller].sum(wire, "direction", "received") - before.controllers[controller].sum(wire, "direction", "received")
	sent := after.controllers[controller].sum(wire, "direction", "sent") - before.controllers[controller].sum(wire, "direction", "sent")
	usage.Received += received / seconds
	usage.Sent += sent / seconds
	usage.Largest = max(usage.Largest, (received+sent)/seconds)
}

// average turns sums over the members of a role into means.
func (u *RoleUsage) average() {
	members := float64(u.Count)
	if u.Processor >= 0 {
		u.Processor /= members
	}
	u.Resident /= int64(u.Count)
	u.Disk /= int64(u.Count)
	u.Received /= members
	u.Sent /= members
}

func (d *DutyUsage) average(role Role, duty string, members int) DutyUsage {
	count := float64(members)
	return DutyUsage{Role: role, Duty: duty, Messages: d.Messages / count, Received: d.Received / count, Sent: d.Sent / count, Core: d.Core / count}
}
