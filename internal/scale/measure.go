package scale

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"path"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// reading is all counters at one time.
type reading struct {
	at          time.Time
	controllers []scrape
	processor   []time.Duration // of controllers
	engines     time.Duration
	own         time.Duration
	nodes       []nodeReading
}

type nodeReading struct{ received, sent, dials int64 }

func (f *Fleet) read(ctx context.Context) (*reading, error) {
	taken := &reading{
		controllers: make([]scrape, len(f.controllers)), processor: make([]time.Duration, len(f.controllers)),
		nodes: make([]nodeReading, len(f.Nodes)),
	}
	var group errgroup.Group
	for controller, member := range f.controllers {
		group.Go(func() error {
			var err error
			if taken.controllers[controller], err = f.scrapeController(ctx, controller); err != nil {
				return trace.Wrap(err)
			}
			if pid := member.pid(); pid != 0 {
				taken.processor[controller], err = processorTime(pid)
			}
			return trace.Wrap(err)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	if pid := f.engines.pid(); pid != 0 {
		var err error
		if taken.engines, err = processorTime(pid); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	for number, node := range f.Nodes {
		taken.nodes[number] = nodeReading{node.received.Load(), node.sent.Load(), node.dials.Load()}
	}
	taken.own, taken.at = ownProcessorTime(), time.Now()
	return taken, nil
}

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

// profileWindow waits for the window and takes processor profiles when the members are
// processes of their own.
func (f *Fleet) profileWindow(ctx context.Context, window time.Duration, leader int) ([]ProfileUsage, error) {
	if !f.separate() {
		if !pause.For(ctx, window) {
			return nil, trace.Wrap(ctx.Err())
		}
		return nil, nil
	}
	var own bytes.Buffer
	if err := pprof.StartCPUProfile(&own); err != nil {
		return nil, trace.Wrap(err)
	}
	parts := make([]map[string]float64, len(f.controllers))
	var group errgroup.Group
	for controller := range f.controllers {
		group.Go(func() (err error) {
			parts[controller], err = f.profileController(ctx, controller, window)
			return trace.Wrap(err)
		})
	}
	err := group.Wait()
	pprof.StopCPUProfile()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	gateways, err := profileParts(&own, gatewayParts, window)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	usages := profileUsages(RoleGateway, gateways, len(f.Nodes))
	sums, counts := map[Role]map[string]float64{}, map[Role]int{}
	for controller, each := range parts {
		role := f.roleOf(controller, leader)
		if sums[role] == nil {
			sums[role] = map[string]float64{}
		}
		counts[role]++
		for part, share := range each {
			sums[role][part] += share
		}
	}
	for _, role := range controllerRoles {
		usages = append(usages, profileUsages(role, sums[role], counts[role])...)
	}
	return usages, nil
}

var controllerRoles = []Role{RoleLeader, RoleVoter, RoleStandby}

// profileUsages lists parts, the largest first, for one member of a role.
func profileUsages(role Role, parts map[string]float64, members int) []ProfileUsage {
	var usages []ProfileUsage
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		usages = append(usages, ProfileUsage{Role: role, Part: part, Processor: parts[part] / float64(members)})
	}
	slices.SortStableFunc(usages, func(a, b ProfileUsage) int { return cmp.Compare(b.Processor, a.Processor) })
	return usages
}

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

// addDuties adds one controller's calls by procedure, steps of its core by input, and
// bytes by kind of connection.
func addDuties(duties map[string]*DutyUsage, before, after scrape, seconds float64) {
	duty := func(name string) *DutyUsage {
		if duties[name] == nil {
			duties[name] = &DutyUsage{}
		}
		return duties[name]
	}
	perSecond := func(family, label string, labels ...string) map[string]float64 {
		rates := map[string]float64{}
		then := before.filter(family, labels).byLabel(family, label)
		for name, value := range after.filter(family, labels).byLabel(family, label) {
			rates[name] = (value - then[name]) / seconds
		}
		return rates
	}
	for procedure, rate := range perSecond("hazelpitch_controller_calls_total", "procedure") {
		duty("call " + path.Base(procedure)).Messages += rate
	}
	for procedure, rate := range perSecond("hazelpitch_controller_message_bytes_total", "procedure", "direction", "received") {
		duty("call " + path.Base(procedure)).Received += rate
	}
	for procedure, rate := range perSecond("hazelpitch_controller_message_bytes_total", "procedure", "direction", "sent") {
		duty("call " + path.Base(procedure)).Sent += rate
	}
	for input, rate := range perSecond("hazelpitch_controller_core_steps_total", "input") {
		duty("step " + input).Messages += rate
	}
	for input, rate := range perSecond("hazelpitch_controller_core_step_seconds_total", "input") {
		duty("step " + input).Core += rate
	}
	for connection, rate := range perSecond("hazelpitch_controller_wire_bytes_total", "connection", "direction", "received") {
		duty("wire " + connection).Received += rate
	}
	for connection, rate := range perSecond("hazelpitch_controller_wire_bytes_total", "connection", "direction", "sent") {
		duty("wire " + connection).Sent += rate
	}
	for name, rate := range perSecond("hazelpitch_controller_engine_exchanges_total", "duty") {
		duty("engine " + name).Messages += rate
	}
}
