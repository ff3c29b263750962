package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// FaultKind is one way in which the fleet breaks.
type FaultKind string

// Kinds of faults.
const (
	FaultCrashController FaultKind = "crash-controller"
	FaultReplaceDisk     FaultKind = "replace-disk"
	FaultPauseController FaultKind = "pause-controller"
	FaultStallController FaultKind = "stall-in-step"
	FaultSlowDisk        FaultKind = "slow-disk"
	FaultIsolate         FaultKind = "isolate-host"
	FaultOneWay          FaultKind = "one-way-partition"
	FaultSplit           FaultKind = "split-zones"
	FaultWeather         FaultKind = "bad-network"
	FaultCrashEngine     FaultKind = "crash-engine"
	FaultPauseEngine     FaultKind = "pause-engine"
	FaultEngineLeaves    FaultKind = "engine-leaves"
	FaultCrashGateway    FaultKind = "crash-gateway"
	FaultPauseGateway    FaultKind = "pause-gateway"
	FaultListLag         FaultKind = "machine-list-lag"
)

// faultKinds lists all kinds in a fixed order.
var faultKinds = []FaultKind{
	FaultCrashController, FaultReplaceDisk, FaultPauseController, FaultStallController, FaultSlowDisk,
	FaultIsolate, FaultOneWay, FaultSplit, FaultWeather, FaultCrashEngine, FaultPauseEngine,
	FaultEngineLeaves, FaultCrashGateway, FaultPauseGateway, FaultListLag,
}

// Times of faults. A pause may be much longer than a leader's lease.
const (
	longestGap   = 1600 * time.Millisecond
	longestFault = 6 * time.Second
	emphasised   = 12
)

// faults breaks the fleet at random, several things at once.
type faults struct {
	world   *world
	weights map[FaultKind]float64
	// active are the ends of the faults under way, by number.
	active map[int]func()
	begun  int
	over   bool
	// counts are the faults begun, by kind.
	counts map[FaultKind]int
}

// newFaults draws which kinds this run meets often: every run differs.
func newFaults(w *world) *faults {
	f := &faults{world: w, weights: map[FaultKind]float64{}, active: map[int]func(){}, counts: map[FaultKind]int{}}
	for _, kind := range faultKinds {
		draw := w.random.Float64()
		f.weights[kind] = draw * draw
	}
	for _, kind := range w.options.Emphasis {
		f.weights[kind] = emphasised
	}
	return f
}

// begin starts the time of faults.
func (f *faults) begin() {
	f.world.after(f.world.duration(longestGap), f.next)
}

// next begins one fault and arranges the one after it.
func (f *faults) next() {
	if f.over {
		return
	}
	kind := f.draw()
	if end := f.start(kind); end != nil {
		f.counts[kind]++
		number := f.begun
		f.begun++
		f.active[number] = end
		f.world.after(f.world.duration(longestFault), func() { f.end(number) })
	}
	f.begin()
}

// draw chooses a kind by its weight.
func (f *faults) draw() FaultKind {
	total := 0.0
	for _, kind := range faultKinds {
		total += f.weights[kind]
	}
	at := f.world.random.Float64() * total
	for _, kind := range faultKinds {
		at -= f.weights[kind]
		if at < 0 {
			return kind
		}
	}
	return faultKinds[0]
}

// end ends one fault.
func (f *faults) end(number int) {
	if end, active := f.active[number]; active {
		delete(f.active, number)
		end()
	}
}

// heal ends all faults, for good.
func (f *faults) heal() {
	f.over = true
	for _, number := range slices.Sorted(maps.Keys(f.active)) {
		f.end(number)
	}
	f.world.trace.add(f.world.now, "faults", "all healed")
}

// note writes a fault into the trace.
func (f *faults) note(kind FaultKind, format string, arguments ...any) {
	f.world.trace.add(f.world.now, "faults", "%s: %s", kind, fmt.Sprintf(format, arguments...))
}

// start begins a fault and returns what ends it, or nil when it cannot be begun now.
func (f *faults) start(kind FaultKind) func() {
	w := f.world
	controller := w.controllers[w.random.IntN(len(w.controllers))]
	engine := w.engines[w.random.IntN(len(w.engines))]
	gateway := w.gateways[w.random.IntN(len(w.gateways))]
	switch kind {
	case FaultCrashController:
		return f.crashController(kind, controller)
	case FaultReplaceDisk:
		return f.replaceDisk(kind, controller)
	case FaultPauseController:
		return f.pause(kind, &controller.host)
	case FaultStallController:
		return f.stall(kind, controller)
	case FaultSlowDisk:
		f.note(kind, "%s", controller.name)
		controller.slowDisk = true
		return func() { controller.slowDisk = false }
	case FaultCrashEngine:
		return f.crashEngine(kind, engine)
	case FaultPauseEngine:
		return f.pause(kind, &engine.host)
	case FaultEngineLeaves:
		return f.engineLeaves(kind, engine)
	case FaultCrashGateway:
		return f.crashGateway(kind, gateway)
	case FaultPauseGateway:
		return f.pause(kind, &gateway.host)
	case FaultListLag:
		w.platform.lag = w.duration(longestListLag)
		f.note(kind, "%v", w.platform.lag)
		return func() { w.platform.lag = 0 }
	default:
		return f.startNetwork(kind, controller, engine, gateway)
	}
}

// crashController kills a controller and starts it again at the end.
func (f *faults) crashController(kind FaultKind, c *controller) func() {
	if !c.alive {
		return nil
	}
	f.note(kind, "%s", c.name)
	c.crash()
	return c.start
}

// replaceDisk kills a controller and starts it on an empty disk at the end. It waits
// until every earlier replacement is complete: more lost disks than a minority are
// more than any replicated log can bear.
func (f *faults) replaceDisk(kind FaultKind, c *controller) func() {
	if !c.alive || !f.world.everyDiskVotes() {
		return nil
	}
	f.note(kind, "%s", c.name)
	c.crash()
	c.replaceDisk()
	return c.start
}

// pause stops a process for a while.
func (f *faults) pause(kind FaultKind, h *host) func() {
	if !h.alive || h.paused {
		return nil
	}
	f.note(kind, "%s", h.name)
	h.pause()
	return h.resume
}

// stall pauses a controller between deciding and acting.
func (f *faults) stall(kind FaultKind, c *controller) func() {
	if !c.alive || c.paused || c.stalled {
		return nil
	}
	f.note(kind, "%s", c.name)
	c.stalled = true
	return func() {
		c.stalled = false
		c.resume()
	}
}

// crashEngine kills an engine, whatever it is doing.
func (f *faults) crashEngine(kind FaultKind, e *engine) func() {
	if !e.alive {
		return nil
	}
	f.note(kind, "%s in phase %s", e.name, e.durable.Phase)
	e.kill()
	return func() {
		if !e.gone {
			e.start()
		}
	}
}

// engineLeaves takes a machine away; another one of the same name comes later.
func (f *faults) engineLeaves(kind FaultKind, e *engine) func() {
	if !e.alive || e.paused || e.leaving {
		return nil
	}
	f.note(kind, "%s", e.name)
	e.leave()
	f.world.platform.update()
	return func() {
		e.leaving = false
		e.machine = nil
		e.kill()
		e.start()
		f.world.platform.update()
	}
}

// crashGateway kills a gateway.
func (f *faults) crashGateway(kind FaultKind, g *gateway) func() {
	if !g.alive {
		return nil
	}
	f.note(kind, "%s", g.name)
	g.kill()
	return g.start
}

// startNetwork begins a fault of the network.
func (f *faults) startNetwork(kind FaultKind, c *controller, e *engine, g *gateway) func() {
	w := f.world
	hosts := []*host{&c.host, &c.host, &e.host, &g.host}
	victim := hosts[w.random.IntN(len(hosts))]
	var cut []link
	switch kind {
	case FaultWeather:
		return f.badWeather(kind)
	case FaultIsolate:
		for _, other := range w.hostNames() {
			cut = append(cut, link{victim.name, other}, link{other, victim.name})
		}
	case FaultOneWay:
		inward := w.random.IntN(2) == 0
		for _, other := range w.hostNames() {
			if inward {
				cut = append(cut, link{other, victim.name})
			} else {
				cut = append(cut, link{victim.name, other})
			}
		}
	case FaultSplit:
		cut = w.splitZones()
	}
	f.note(kind, "%s, %d links", victim.name, len(cut))
	return f.cutLinks(cut)
}

// cutLinks cuts links and returns what mends those that were whole.
func (f *faults) cutLinks(links []link) func() {
	network := f.world.network
	for _, cut := range links {
		network.cuts[cut]++
	}
	return func() {
		for _, cut := range links {
			network.cuts[cut]--
		}
	}
}

// badWeather loses, doubles and delays messages everywhere.
func (f *faults) badWeather(kind FaultKind) func() {
	w := f.world
	loss, duplication, slowness := w.random.Float64()*0.3, w.random.Float64()*0.2, w.random.Float64()*0.2
	f.note(kind, "loss %.2f, duplication %.2f, slowness %.2f", loss, duplication, slowness)
	w.network.loss += loss
	w.network.duplication += duplication
	w.network.slowness += slowness
	return func() {
		w.network.loss -= loss
		w.network.duplication -= duplication
		w.network.slowness -= slowness
	}
}

// hostNames lists all hosts.
func (w *world) hostNames() []string {
	names := []string{w.platform.name}
	for _, c := range w.controllers {
		names = append(names, c.name)
	}
	for _, e := range w.engines {
		names = append(names, e.name)
	}
	for _, g := range w.gateways {
		names = append(names, g.name)
	}
	for _, o := range w.operators {
		names = append(names, o.name)
	}
	return names
}

// splitZones cuts one zone off from the others, both ways and in silence.
func (w *world) splitZones() []link {
	zone := w.options.Deployment.zone(w.random.IntN(len(w.options.Deployment.Zones)))
	var inside, outside []string
	place := func(name, at string) {
		if at == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, c := range w.controllers {
		place(c.name, c.zone)
	}
	for _, e := range w.engines {
		place(e.name, e.zone)
	}
	for _, g := range w.gateways {
		place(g.name, g.zone)
	}
	var cut []link
	for _, a := range inside {
		for _, b := range outside {
			cut = append(cut, link{a, b}, link{b, a})
		}
	}
	return cut
}

// everyDiskVotes reports whether every controller's disk is a voter of a committed
// membership that holds no other disk.
func (w *world) everyDiskVotes() bool {
	for _, c := range w.controllers {
		if c.core == nil {
			continue
		}
		status := c.status()
		if status.Role.String() != "leader" || !c.core.Status().Ordering || !status.MembershipCommitted {
			continue
		}
		voters := map[string]bool{}
		for _, member := range status.Membership.GetMembers() {
			voters[member.GetId()] = !member.GetLearner()
		}
		for _, other := range w.controllers {
			if !voters[other.diskID] {
				return false
			}
		}
		return len(voters) == len(w.controllers)
	}
	return false
}
