package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// Safeguards of a controller's disk that only the simulator can switch off.
const (
	// SafeguardDiskSync syncs the log before a batch counts as persisted.
	SafeguardDiskSync safeguard.Safeguard = "disk-sync"
	// SafeguardDiskIdentity gives an emptied disk a new identity.
	SafeguardDiskIdentity safeguard.Safeguard = "disk-identity"
)

// Settings of a controller that make the simulation meet more in less time.
const (
	fleetName         = "simulated"
	dataDirectory     = "/data"
	segmentBytes      = 8 << 10
	snapshotEntries   = 60
	listInterval      = time.Second
	engineCallTimeout = time.Second
	quickSync         = 2 * time.Millisecond
	slowSync          = 400 * time.Millisecond
)

// controller is one controller: the product's core over the product's log on a
// simulated disk.
type controller struct {
	host
	zone  string
	peers []consensus.Peer
	// standby tells that this controller is a learner beside the voters.
	standby bool
	disk    *memory.Disk
	disks   int // disks this machine has had
	storage *storage.Storage
	core    *control.Core
	// diskID is the identity of the disk in use.
	diskID   string
	syncing  bool
	slowDisk bool
	unsaved  []control.Persist
	nextCall control.CallID
	calls    map[control.CallID]func(proto.Message, error)
	// stalled holds what leaves only at the end of a pause that began in mid-step.
	stalled bool
	// stallsBeforeOrder tells that the next step that sends an order stalls.
	stallsBeforeOrder bool
	// quorumChecked and digestAt are how far the checks have come.
	quorumChecked uint64
	digestAt      uint64
	membership    *v1.Membership
	// shadow is what the core has handed out for its log.
	shadow shadowLog
}

// start starts the process on what its disk holds.
func (c *controller) start() {
	c.boot()
	c.syncing, c.stalled, c.stallsBeforeOrder, c.unsaved = false, false, false, nil
	c.calls = map[control.CallID]func(proto.Message, error){}
	c.disk.IgnoreSync = !c.world.safeguards.On(SafeguardDiskSync)
	opened, restored, err := storage.Open(storage.Options{
		Directory: dataDirectory, Fleet: fleetName, Name: c.name, FileSystem: c.disk,
		NewDiskID: c.newDiskID, SegmentBytes: segmentBytes,
	})
	if err != nil {
		c.world.checks.fail("durable state", "%s cannot open its disk: %v", c.name, err)
		c.kill()
		return
	}
	c.storage, c.diskID = opened, restored.DiskID
	c.shadow.load(restored)
	c.quorumChecked, c.digestAt, c.membership = 0, 0, nil
	c.world.checks.controllerStarted(c, restored)
	c.core, err = control.New(c.config(), restored)
	if err != nil {
		c.world.checks.fail("durable state", "%s cannot start: %v", c.name, err)
		c.kill()
		return
	}
	c.world.trace.add(c.world.now, c.name, "starts on disk %s, log ends at %d", c.diskID, c.shadow.last)
	c.every(control.TickInterval, func() { c.step(control.Tick{}) })
	c.every(listInterval, c.readMachineList)
	c.readMachineList()
}

// newDiskID names a new disk.
func (c *controller) newDiskID() string {
	if !c.world.safeguards.On(SafeguardDiskIdentity) {
		return c.name + "/1"
	}
	return fmt.Sprintf("%s/%d", c.name, c.disks)
}

// config is the configuration of the core.
func (c *controller) config() control.Config {
	config := control.Config{
		Fleet: fleetName, Name: c.name, Zone: c.zone, Address: c.name, Peers: c.peers,
		WallOrigin: c.clock.wallOriginMs, SnapshotEntries: snapshotEntries, Safeguards: c.world.safeguards,
	}
	for i := range config.Seed {
		config.Seed[i] = byte(c.world.random.Uint32())
	}
	plannerSeed := c.world.random.Uint64()
	config.NewPlanner = func(string) planner.Planner {
		return &restlessPlanner{world: c.world, random: rand.New(rand.NewPCG(plannerSeed, 1))}
	}
	return config
}

// step hands one input to the core and carries out what it wants.
func (c *controller) step(input control.Input) {
	if c.core == nil {
		return
	}
	outputs := c.core.Step(c.local(), input)
	c.world.checks.controllerStepped(c, outputs)
	if c.stallsBeforeOrder && sendsOrder(outputs) {
		c.stalled, c.stallsBeforeOrder = true, false
	}
	for _, output := range outputs {
		if c.stalled {
			c.waiting = append(c.waiting, func() { c.carryOut(output) })
			continue
		}
		c.carryOut(output)
	}
	if c.stalled {
		c.stalled = false
		c.pause()
	}
}

// sendsOrder reports whether a step sends an order.
func sendsOrder(outputs []control.Output) bool {
	return slices.ContainsFunc(outputs, func(output control.Output) bool {
		_, order := output.(control.SendOrder)
		return order
	})
}

// carryOut does what one output asks for.
func (c *controller) carryOut(output control.Output) {
	switch wanted := output.(type) {
	case control.Persist:
		c.unsaved = append(c.unsaved, wanted)
		c.startSync()
	case control.SendPeer:
		if peer := c.world.controllerAt(wanted.Address); peer != nil {
			message := proto.CloneOf(wanted.Message)
			c.world.network.send(&c.host, &peer.host, func() { peer.step(control.PeerMessage{Message: message}) })
		}
	case control.Answer:
		if reply, waits := c.calls[wanted.Call]; waits {
			delete(c.calls, wanted.Call)
			reply(wanted.Response, wanted.Err)
		}
	case control.SendOrder:
		c.sendOrder(wanted)
	case control.SendFence:
		c.sendFence(wanted)
	case control.PollEngine:
		c.pollEngine(wanted)
	}
}

// startSync writes all that waits after the time that a disk takes.
func (c *controller) startSync() {
	if c.syncing {
		return
	}
	c.syncing = true
	delay := c.world.duration(quickSync)
	if c.slowDisk {
		delay = c.world.duration(slowSync)
	}
	c.after(delay, c.save)
}

// save writes and syncs what waits and tells the core.
func (c *controller) save() {
	c.syncing = false
	batches := c.unsaved
	c.unsaved = nil
	if len(batches) == 0 {
		return
	}
	if err := saveAll(c.storage, batches); err != nil {
		c.world.checks.fail("durable state", "%s cannot save: %v", c.name, err)
		return
	}
	c.world.checks.logs.saved(c, batches)
	c.step(control.Persisted{Batch: batches[len(batches)-1].Batch})
}

// saveAll saves batches with as few syncs as can be.
func saveAll(target *storage.Storage, batches []control.Persist) error {
	batch := &storage.Batch{}
	for _, wanted := range batches {
		if batch.Add(wanted.HardState, wanted.Entries, wanted.Snapshot) {
			continue
		}
		if err := target.SaveBatch(batch); err != nil {
			return err
		}
		batch = &storage.Batch{}
		batch.Add(wanted.HardState, wanted.Entries, wanted.Snapshot)
	}
	return target.SaveBatch(batch)
}

// crash ends the process between two changes of the disk, which loses what was not synced.
func (c *controller) crash() {
	if !c.alive {
		return
	}
	if len(c.unsaved) > 0 {
		c.disk.StopAfter(c.world.random.IntN(8))
		_ = saveAll(c.storage, c.unsaved) // stops somewhere
	}
	c.disk.Crash(c.world.random)
	c.core, c.storage = nil, nil
	c.kill()
	c.world.trace.add(c.world.now, c.name, "crashes")
}

// replaceDisk puts an empty disk into a machine that is down.
func (c *controller) replaceDisk() {
	c.disks++
	c.disk = memory.New()
	c.diskID = "" // known once the process has started on it
	c.world.trace.add(c.world.now, c.name, "gets an empty disk")
}

// receive hands a call to the core; reply gets its answer.
func (c *controller) receive(input func(control.CallID) control.Input, reply func(proto.Message, error)) {
	if c.core == nil {
		return
	}
	c.nextCall++
	c.calls[c.nextCall] = reply
	c.step(input(c.nextCall))
}

// readMachineList asks the platform.
func (c *controller) readMachineList() {
	platform := c.world.platform
	call(c.world.network, &c.host, &platform.host, engineCallTimeout,
		func(reply func(enginecontract.MachineList)) { reply(platform.read()) },
		func(list enginecontract.MachineList, answered bool) {
			if answered {
				c.step(control.MachineListReceived{List: list})
			}
		})
}

// sendOrder sends an order to an engine.
func (c *controller) sendOrder(wanted control.SendOrder) {
	c.world.checks.orderSent(c, wanted.Order, wanted.Engine)
	c.callEngine(wanted.Address, func(e *engine) enginecontract.OrderAnswer { return e.order(wanted.Order) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence, Answer: answer})
		})
}

// sendFence raises the fence at an engine.
func (c *controller) sendFence(wanted control.SendFence) {
	fence := enginecontract.Fence{Epoch: wanted.Epoch}
	c.callEngine(wanted.Address, func(e *engine) enginecontract.OrderAnswer { return e.fence(fence) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch, Answer: answer})
		})
}

// callEngine makes a call that an engine answers with an OrderAnswer.
func (c *controller) callEngine(address string, handle func(*engine) enginecontract.OrderAnswer, done func(*enginecontract.OrderAnswer)) {
	target := c.world.engineAt(address)
	if target == nil {
		c.after(engineCallTimeout, func() { done(nil) })
		return
	}
	call(c.world.network, &c.host, &target.host, engineCallTimeout,
		func(reply func(enginecontract.OrderAnswer)) { reply(handle(target)) },
		func(answer enginecontract.OrderAnswer, answered bool) {
			if answered {
				done(&answer)
			} else {
				done(nil)
			}
		})
}

// polled is what an engine answers to a poll.
type polled struct {
	state *enginecontract.EngineState
	load  *enginecontract.LoadReport
}

// pollEngine asks an engine for state and load.
func (c *controller) pollEngine(wanted control.PollEngine) {
	target := c.world.engineAt(wanted.Address)
	if target == nil {
		c.after(engineCallTimeout, func() { c.step(control.EngineStateReceived{Engine: wanted.Engine}) })
		return
	}
	call(c.world.network, &c.host, &target.host, engineCallTimeout,
		func(reply func(polled)) { reply(polled{state: target.state(), load: target.load()}) },
		func(answer polled, _ bool) {
			c.step(control.EngineStateReceived{Engine: wanted.Engine, State: answer.state, Load: answer.load})
		})
}

// digest returns the hash of the replicated state.
func (c *controller) digest() uint64 {
	data, err := c.core.State().Snapshot()
	if err != nil {
		c.world.checks.fail("agreement", "%s cannot write its state: %v", c.name, err)
	}
	return xxhash.Sum64(data)
}

// status returns what the core tells of the replicated log.
func (c *controller) status() consensus.Status { return c.core.Status().Consensus }

// entryText names an entry for the trace.
func entryText(entry *v1.Entry) string {
	return fmt.Sprintf("%d of term %d", entry.GetIndex(), entry.GetTerm())
}
