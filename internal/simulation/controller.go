package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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
	zone    string
	peers   []consensus.Peer
	build   build
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
	c.disk.IgnoreSync = !c.world.safeguards.IsEnabled(SafeguardDiskSync)
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
	c.core, err = control.New(c.config(), c.finds(restored))
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

// startIfDown starts the process unless something else has done so already.
func (c *controller) startIfDown() {
	if !c.alive {
		c.start()
	}
}

// newDiskID names a new disk.
func (c *controller) newDiskID() string {
	if !c.world.safeguards.IsEnabled(SafeguardDiskIdentity) {
		return c.name + ".1"
	}
	return fmt.Sprintf("%s.%d", c.name, c.disks)
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
	outputs := c.writes(c.core.Step(c.local(), input))
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
			c.world.network.send(&c.host, &peer.host, func() { peer.step(control.PeerMessage{Message: peer.reads(message)}) })
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

// status returns what the core tells of the replicated log.
func (c *controller) status() consensus.Status { return c.core.Consensus() }

// entryText names an entry for the trace.
func entryText(entry *v1.Entry) string {
	return fmt.Sprintf("%d of term %d", entry.GetIndex(), entry.GetTerm())
}
