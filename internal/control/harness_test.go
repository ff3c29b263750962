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
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// testWallOrigin is the wall-clock time at virtual time 0.
const testWallOrigin = 1_700_000_000_000

// linkDelay is the one-way delay of every exchange.
const linkDelay = time.Millisecond

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// testCluster runs controllers and engines in virtual time over an in-memory network.
type testCluster struct {
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
	// accepted are the orders that engines accepted, in order.
	accepted []enginecontract.Order
	answers  map[CallID]Answer
	lastCall CallID
	config   func(*Config)
	// site is set in clusters with listed engines.
	site *siteEngines
	// usage is set in clusters that count usage.
	usage *usagePlatform
	// replicas is set in clusters that order replicas.
	replicas *replicaPlatform
	// clockError is the error of the controllers' clocks, by controller.
	clockError map[string]time.Duration
	// persisted is called for each entry that a controller writes, if it is set.
	persisted func(controller *testController, entry *v1.Entry)
}

// testController is one controller with its disk.
type testController struct {
	name string
	core *Core
	disk Restored
	// incarnation grows with each start and crash: events of earlier incarnations are ignored.
	incarnation int
	// cut means that the controller is disconnected from its peers, engines and other parties.
	cut bool
	// uncountedSuspension is the time for which the machine was suspended and which its clock did not count.
	uncountedSuspension time.Duration
	// isFormer means that the controller behaves like one of formerFormat, by means of its translator.
	isFormer     bool
	formerFormat formats.Number
	translator   *formerbuild.Translator
	// advertised replaces the formats that the controller reports to the others, if it is set.
	advertised *v1.FormatRange
}

func newTestCluster(t *testing.T, voters int, configure func(*Config)) *testCluster {
	w := &testCluster{
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

// start starts a controller with the content of its disk.
func (w *testCluster) start(name string) {
	controller := w.controllers[name]
	config := Config{
		Fleet: "test", Name: name, Zone: "zone-a", Address: name, WallOrigin: testWallOrigin,
		Seed: [32]byte{1, byte(controller.incarnation)}, PlanInterval: -1,
	}
	for _, peer := range w.names {
		config.Peers = append(config.Peers, consensus.Peer{Name: peer, Address: peer, Zone: "zone-a"})
	}
	if w.config != nil {
		w.config(&config)
	}
	core, err := New(config, controller.restored(w.t))
	require.NoError(w.t, err)
	controller.core = core
	controller.incarnation++
	w.tick(controller, controller.incarnation)
}

// restart crashes a controller and starts it again after a second.
func (w *testCluster) restart(controller *testController) {
	w.crash(controller.name)
	w.after(time.Second, func() { w.start(controller.name) })
}

// crash stops a controller; writes that were not synced are lost.
func (w *testCluster) crash(name string) {
	w.controllers[name].core = nil
	w.controllers[name].incarnation++
}

func (w *testCluster) tick(controller *testController, incarnation int) {
	w.after(TickInterval, func() {
		if controller.incarnation != incarnation {
			return
		}
		w.step(controller, Tick{TimeOfDayMs: testWallOrigin + (w.now + w.clockError[controller.name]).Milliseconds()})
		if w.now%time.Second < TickInterval {
			w.step(controller, MachineListReceived{List: w.list})
		}
		w.tick(controller, incarnation)
	})
}

// after runs a function after a delay.
func (w *testCluster) after(delay time.Duration, run func()) {
	w.sequence++
	w.events = append(w.events, event{at: w.now + delay, sequence: w.sequence, run: run})
}

// run advances virtual time and runs the events that are due.
func (w *testCluster) run(span time.Duration) {
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

func (w *testCluster) nextEvent() int {
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
func (w *testCluster) until(what string, condition func() bool) {
	w.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		w.run(10 * time.Millisecond)
	}
	w.t.Fatalf("no %s within a minute", what)
}

// step passes an input to a controller and carries out its outputs.
func (w *testCluster) step(controller *testController, input Input) {
	if controller.core == nil {
		return
	}
	incarnation := controller.incarnation
	for _, output := range controller.core.Step(w.now-controller.uncountedSuspension, input) {
		w.handleOutput(controller, incarnation, output)
	}
}

// deliver passes an input to a controller after the link's delay, unless the controller has crashed meanwhile.
func (w *testCluster) deliver(from string, controller *testController, incarnation int, input Input) {
	w.after(linkDelay, func() {
		if controller.incarnation == incarnation && !controller.cut && !w.lose(from, controller.name) {
			w.step(controller, input)
		}
	})
}

func (w *testCluster) handleOutput(controller *testController, incarnation int, output Output) {
	w.handleSiteOutput(controller, incarnation, output)
	switch wanted := output.(type) {
	case Persist:
		written := controller.written(w.t, &v1.ConsensusMessage{Entries: wanted.Entries, Snapshot: wanted.Snapshot})
		wanted.Entries, wanted.Snapshot = written.GetEntries(), written.GetSnapshot()
		for _, entry := range wanted.Entries {
			if w.persisted != nil {
				w.persisted(controller, entry)
			}
		}
		w.after(linkDelay, func() {
			if controller.incarnation == incarnation {
				controller.write(wanted)
				w.step(controller, Persisted{Batch: wanted.Batch})
			}
		})
	case SendPeer:
		peer := w.controllers[wanted.Address]
		if peer != nil && !controller.cut {
			sent := proto.CloneOf(wanted.Message)
			if controller.advertised != nil && sent.GetFrom() == controller.core.consensus.ID() {
				sent.Formats = controller.advertised
			}
			message := peer.received(w.t, controller.written(w.t, sent))
			w.deliver(controller.name, peer, peer.incarnation, PeerMessage{Message: message})
		}
	case Answer:
		w.answers[wanted.Call] = wanted
	case SendOrder:
		w.toEngine(controller, incarnation, wanted.Engine, func(engine *testEngine) Input {
			answer := engine.machine.Submit(w.now, wanted.Order, engine.inFlight)
			if answer.Accepted && (len(w.accepted) == 0 || w.accepted[len(w.accepted)-1] != wanted.Order) {
				w.accepted = append(w.accepted, wanted.Order)
			}
			return OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence, Answer: &answer}
		}, OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence})
	case SendFence:
		w.toEngine(controller, incarnation, wanted.Engine, func(engine *testEngine) Input {
			answer := engine.machine.RaiseFence(w.now, enginecontract.Fence{Epoch: wanted.Epoch}, engine.inFlight)
			return FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch, Answer: &answer}
		}, FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch})
	case PollEngine:
		w.toEngine(controller, incarnation, wanted.Engine, func(engine *testEngine) Input {
			engine.machine.Advance(w.now, engine.inFlight)
			state := engine.machine.State(engine.inFlight)
			load := &enginecontract.LoadReport{Engine: engine.name, Incarnation: engine.incarnation, Running: engine.inFlight}
			return EngineStateReceived{Engine: wanted.Engine, State: &state, Load: load}
		}, EngineStateReceived{Engine: wanted.Engine})
	}
}

// toEngine exchanges one message with an engine; the message or the answer may be lost.
func (w *testCluster) toEngine(controller *testController, incarnation int, name string, exchange func(*testEngine) Input, lost Input) {
	w.after(linkDelay, func() {
		engine := w.engines[name]
		if engine == nil || engine.down || controller.cut || w.lose(controller.name, name) {
			w.after(800*time.Millisecond, func() { w.stepIncarnation(controller, incarnation, lost) })
			return
		}
		answer := exchange(engine)
		w.after(linkDelay, func() {
			if controller.cut || w.lose(name, controller.name) {
				answer = lost
			}
			w.stepIncarnation(controller, incarnation, answer)
		})
	})
}

func (w *testCluster) stepIncarnation(controller *testController, incarnation int, input Input) {
	if controller.incarnation == incarnation {
		w.step(controller, input)
	}
}

// write writes a batch to the controller's disk.
func (c *testController) write(batch Persist) {
	if batch.HardState != nil {
		c.disk.HardState = batch.HardState
	}
	if batch.Snapshot != nil {
		c.disk.Snapshot = batch.Snapshot
		c.filterEntries(func(index uint64) bool { return index > batch.Snapshot.Metadata.Index })
	}
	for _, entry := range batch.Entries {
		c.filterEntries(func(index uint64) bool { return index < entry.Index })
		c.disk.Entries = append(c.disk.Entries, entry)
	}
}

func (c *testController) filterEntries(keep func(uint64) bool) {
	kept := make([]*v1.Entry, 0, len(c.disk.Entries))
	for _, entry := range c.disk.Entries {
		if keep(entry.Index) {
			kept = append(kept, entry)
		}
	}
	c.disk.Entries = kept
}
