package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// testWallOrigin is the wall-clock time at virtual time 0.
const testWallOrigin = 1_700_000_000_000

// linkDelay is the one-way delay of every exchange.
const linkDelay = time.Millisecond

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// world runs controllers and engines over a network in memory, in virtual time.
type world struct {
	t           *testing.T
	now         time.Duration
	random      *rand.Rand
	events      []event
	sequence    int
	controllers map[string]*testController
	names       []string
	engines     map[string]*testEngine
	list        enginecontract.MachineList
	// lose decides whether an exchange from one party to another is lost.
	lose func(from, to string) bool
	// trace records orders as engines accepted them.
	accepted []enginecontract.Order
	answers  map[CallID]Answer
	lastCall CallID
	config   func(*Config)
	// site is set in worlds of listed engines.
	site *siteEngines
	// usage is set in worlds where usage is counted.
	usage *usagePlatform
	// replicas is set in worlds where replicas are ordered.
	replicas *replicaPlatform
	// clockError is by how much controllers' clocks are wrong.
	clockError map[string]time.Duration
	// persisted, where it is set, is told each entry that a controller writes.
	persisted func(controller *testController, entry *v1.Entry)
}

// testController is one controller with its disk.
type testController struct {
	name string
	core *Core
	disk Restored
	// life grows with each crash: events of an earlier life are void.
	life int
	// cut: nothing reaches the controller and nothing leaves it.
	cut bool
	// uncounted is the time for which the machine was suspended and that its clock has not counted.
	uncounted time.Duration
	// former: the controller stands for one of the first format, by its translator.
	former     bool
	translator *formerbuild.Translator
}

func newWorld(t *testing.T, voters int, configure func(*Config)) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(1, 2)), controllers: map[string]*testController{},
		engines: map[string]*testEngine{}, answers: map[CallID]Answer{}, config: configure,
		lose: func(string, string) bool { return false }, clockError: map[string]time.Duration{},
	}
	for i := range voters {
		w.names = append(w.names, fmt.Sprintf("controller-%d", i+1))
	}
	for _, name := range w.names {
		w.controllers[name] = &testController{name: name, disk: Restored{DiskID: name + ".disk"}}
	}
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

// start starts a controller with what its disk holds.
func (w *world) start(name string) {
	controller := w.controllers[name]
	config := Config{
		Fleet: "test", Name: name, Zone: "zone-a", Address: name, WallOrigin: testWallOrigin,
		Seed: [32]byte{1, byte(controller.life)}, PlanInterval: -1,
	}
	for _, peer := range w.names {
		config.Peers = append(config.Peers, consensus.Peer{Name: peer, Address: peer, Zone: "zone-a"})
	}
	if w.config != nil {
		w.config(&config)
	}
	core, err := New(config, controller.findsAs(w.t))
	require.NoError(w.t, err)
	controller.core = core
	controller.life++
	w.tick(controller, controller.life)
}

// restart crashes a controller and starts it again soon.
func (w *world) restart(controller *testController) {
	w.crash(controller.name)
	w.after(time.Second, func() { w.start(controller.name) })
}

// crash stops a controller; what it had not synced is lost.
func (w *world) crash(name string) {
	w.controllers[name].core = nil
	w.controllers[name].life++
}

func (w *world) tick(controller *testController, life int) {
	w.after(TickInterval, func() {
		if controller.life != life {
			return
		}
		w.step(controller, Tick{TimeOfDayMs: testWallOrigin + (w.now + w.clockError[controller.name]).Milliseconds()})
		if w.now%time.Second < TickInterval {
			w.step(controller, MachineListReceived{List: w.list})
		}
		w.tick(controller, life)
	})
}

// after lets something happen later.
func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	w.events = append(w.events, event{at: w.now + delay, sequence: w.sequence, run: run})
}

// run lets virtual time pass.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for {
		next := w.nextEvent()
		if next < 0 || w.events[next].at > end {
			w.now = end
			return
		}
		due := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = due.at
		due.run()
	}
}

func (w *world) nextEvent() int {
	if len(w.events) == 0 {
		return -1
	}
	best := 0
	for i := range w.events {
		if cmp.Or(cmp.Compare(w.events[i].at, w.events[best].at), cmp.Compare(w.events[i].sequence, w.events[best].sequence)) < 0 {
			best = i
		}
	}
	return best
}

// until runs until the condition holds, for at most a minute of virtual time.
func (w *world) until(what string, condition func() bool) {
	w.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		w.run(10 * time.Millisecond)
	}
	w.t.Fatalf("no %s within a minute", what)
}

// step gives a controller an input and carries out what it asks for.
func (w *world) step(controller *testController, input Input) {
	if controller.core == nil {
		return
	}
	life := controller.life
	for _, output := range controller.core.Step(w.now-controller.uncounted, input) {
		w.carryOut(controller, life, output)
	}
}

// deliver hands an input to a controller later unless it has crashed meanwhile.
func (w *world) deliver(from string, controller *testController, life int, input Input) {
	w.after(linkDelay, func() {
		if controller.life == life && !controller.cut && !w.lose(from, controller.name) {
			w.step(controller, input)
		}
	})
}

func (w *world) carryOut(controller *testController, life int, output Output) {
	w.carryOutSite(controller, life, output)
	switch wanted := output.(type) {
	case Persist:
		written := controller.writesAs(w.t, &v1.ConsensusMessage{Entries: wanted.Entries, Snapshot: wanted.Snapshot})
		wanted.Entries, wanted.Snapshot = written.GetEntries(), written.GetSnapshot()
		for _, entry := range wanted.Entries {
			if w.persisted != nil {
				w.persisted(controller, entry)
			}
		}
		w.after(linkDelay, func() {
			if controller.life == life {
				controller.write(wanted)
				w.step(controller, Persisted{Batch: wanted.Batch})
			}
		})
	case SendPeer:
		peer := w.controllers[wanted.Address]
		if peer != nil && !controller.cut {
			message := peer.readsAs(w.t, controller.writesAs(w.t, proto.CloneOf(wanted.Message)))
			w.deliver(controller.name, peer, peer.life, PeerMessage{Message: message})
		}
	case Answer:
		w.answers[wanted.Call] = wanted
	case SendOrder:
		w.toEngine(controller, life, wanted.Engine, func(engine *testEngine) Input {
			answer := engine.machine.Order(w.now, wanted.Order, engine.inFlight)
			if answer.Accepted && (len(w.accepted) == 0 || w.accepted[len(w.accepted)-1] != wanted.Order) {
				w.accepted = append(w.accepted, wanted.Order)
			}
			return OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence, Answer: &answer}
		}, OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence})
	case SendFence:
		w.toEngine(controller, life, wanted.Engine, func(engine *testEngine) Input {
			answer := engine.machine.Fence(w.now, enginecontract.Fence{Epoch: wanted.Epoch}, engine.inFlight)
			return FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch, Answer: &answer}
		}, FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch})
	case PollEngine:
		w.toEngine(controller, life, wanted.Engine, func(engine *testEngine) Input {
			engine.machine.Advance(w.now, engine.inFlight)
			state := engine.machine.State(engine.inFlight)
			load := &enginecontract.LoadReport{Engine: engine.name, Incarnation: engine.incarnation, Running: engine.inFlight}
			return EngineStateReceived{Engine: wanted.Engine, State: &state, Load: load}
		}, EngineStateReceived{Engine: wanted.Engine})
	}
}

// toEngine exchanges one message with an engine; the answer may be lost on the way.
func (w *world) toEngine(controller *testController, life int, name string, exchange func(*testEngine) Input, lost Input) {
	w.after(linkDelay, func() {
		engine := w.engines[name]
		if engine == nil || engine.down || controller.cut || w.lose(controller.name, name) {
			w.after(800*time.Millisecond, func() { w.stepLife(controller, life, lost) })
			return
		}
		answer := exchange(engine)
		w.after(linkDelay, func() {
			if controller.cut || w.lose(name, controller.name) {
				answer = lost
			}
			w.stepLife(controller, life, answer)
		})
	})
}

func (w *world) stepLife(controller *testController, life int, input Input) {
	if controller.life == life {
		w.step(controller, input)
	}
}

// write puts a batch on the controller's disk.
func (c *testController) write(batch Persist) {
	if batch.HardState != nil {
		c.disk.HardState = batch.HardState
	}
	if batch.Snapshot != nil {
		c.disk.Snapshot = batch.Snapshot
		c.keepEntries(func(index uint64) bool { return index > batch.Snapshot.Metadata.Index })
	}
	for _, entry := range batch.Entries {
		c.keepEntries(func(index uint64) bool { return index < entry.Index })
		c.disk.Entries = append(c.disk.Entries, entry)
	}
}

func (c *testController) keepEntries(keep func(uint64) bool) {
	kept := make([]*v1.Entry, 0, len(c.disk.Entries))
	for _, entry := range c.disk.Entries {
		if keep(entry.Index) {
			kept = append(kept, entry)
		}
	}
	c.disk.Entries = kept
}
