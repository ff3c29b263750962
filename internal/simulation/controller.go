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

// Safeguards of a controller's disk that can be disabled in the simulator only.
const (
	// SafeguardDiskSync makes a batch count as persisted only after the log is synced.
	SafeguardDiskSync safeguard.Safeguard = "disk-sync"
	// SafeguardDiskIdentity gives an emptied disk a new identity.
	SafeguardDiskIdentity safeguard.Safeguard = "disk-identity"
)

// Settings of a controller. Segments, snapshots and intervals are small so that a short run covers many of them.
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

// controller is one controller: the product's core over the product's log on a simulated disk.
type controller struct {
	host
	zone      string
	peers     []consensus.Peer
	build     build
	disk      *memory.Disk
	diskCount int // number of disks that this machine has had
	storage   *storage.Storage
	core      *control.Core
	// diskID is the identity of the disk in use.
	diskID   string
	syncing  bool
	slowDisk bool
	unsaved  []control.Persist
	nextCall control.CallID
	calls    map[control.CallID]func(proto.Message, error)
	// isStalled is true while the outputs of a step are held back until the end of a pause.
	isStalled bool
	// stallsBeforeOrder is true if the next step that sends an order is to stall.
	stallsBeforeOrder bool
	// quorumChecked is the last index whose durability on a quorum was checked, digestAt the last applied index at which
	// the state was compared with those of other controllers.
	quorumChecked uint64
	// toleranceChecked is the last membership whose tolerance of further losses was checked.
	toleranceChecked *v1.Membership
	digestAt         uint64
	membership       *v1.Membership
	// shadow is a copy of the log as the core has written it.
	shadow shadowLog
}

// start starts the process from the content of its disk.
func (c *controller) start() {
	c.boot()
	c.syncing, c.isStalled, c.stallsBeforeOrder, c.unsaved = false, false, false, nil
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
	c.world.checks.checkControllerStarted(c, restored)
	c.core, err = control.New(c.config(), c.readRestored(restored))
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

// startIfDown starts the process unless it is already running.
func (c *controller) startIfDown() {
	if !c.isAlive {
		c.start()
	}
}

// newDiskID returns the identity of a new disk.
func (c *controller) newDiskID() string {
	if !c.world.safeguards.IsEnabled(SafeguardDiskIdentity) {
		return c.name + ".1"
	}
	return fmt.Sprintf("%s.%d", c.name, c.diskCount)
}

// config returns the configuration of the core.
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
		return &randomPlanner{world: c.world, random: rand.New(rand.NewPCG(plannerSeed, 1))}
	}
	return config
}

// step passes one input to the core and executes its outputs.
func (c *controller) step(input control.Input) {
	if c.core == nil {
		return
	}
	outputs := c.writeOutputs(c.core.Step(c.local(), input))
	c.world.checks.checkControllerStep(c, outputs)
	if c.stallsBeforeOrder && sendsOrder(outputs) {
		c.isStalled, c.stallsBeforeOrder = true, false
	}
	for _, output := range outputs {
		if c.isStalled {
			c.waiting = append(c.waiting, func() { c.execute(output) })
			continue
		}
		c.execute(output)
	}
	if c.isStalled {
		c.isStalled = false
		c.pause()
	}
}

// sendsOrder reports whether a step sends an order.
func sendsOrder(outputs []control.Output) bool {
	return slices.ContainsFunc(outputs, func(output control.Output) bool {
		_, isOrder := output.(control.SendOrder)
		return isOrder
	})
}

// execute executes one output.
func (c *controller) execute(output control.Output) {
	switch action := output.(type) {
	case control.Persist:
		c.unsaved = append(c.unsaved, action)
		c.startSync()
	case control.SendPeer:
		if peer := c.world.controllerAt(action.Address); peer != nil {
			message := proto.CloneOf(action.Message)
			c.world.network.send(&c.host, &peer.host, func() { peer.step(control.PeerMessage{Message: peer.readMessage(message)}) })
		}
	case control.Answer:
		if reply, waits := c.calls[action.Call]; waits {
			delete(c.calls, action.Call)
			reply(action.Response, action.Err)
		}
	case control.SendOrder:
		c.sendOrder(action)
	case control.SendFence:
		c.sendFence(action)
	case control.PollEngine:
		c.pollEngine(action)
	}
}

// receive passes a call to the core; reply is called with its response.
func (c *controller) receive(input func(control.CallID) control.Input, reply func(proto.Message, error)) {
	if c.core == nil {
		return
	}
	c.nextCall++
	c.calls[c.nextCall] = reply
	c.step(input(c.nextCall))
}

// readMachineList reads the machine list of the platform and passes it to the core.
func (c *controller) readMachineList() {
	platform := c.world.platform
	call(c.world.network, &c.host, &platform.host, engineCallTimeout,
		func(reply func(enginecontract.MachineList)) { reply(platform.currentList()) },
		func(list enginecontract.MachineList, answered bool) {
			if answered {
				c.step(control.MachineListReceived{List: list})
			}
		})
}

// status returns the core's status of the replicated log.
func (c *controller) status() consensus.Status { return c.core.Consensus() }

// entryText formats the position of an entry for the trace.
func entryText(entry *v1.Entry) string {
	return fmt.Sprintf("%d of term %d", entry.GetIndex(), entry.GetTerm())
}
