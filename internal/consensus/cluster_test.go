package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// testDisk is the synced state of a member.
type testDisk struct {
	restored Restored
	pending  []Ready
}

// write persists a batch.
func (d *testDisk) write(ready Ready) {
	if ready.HardState != nil {
		d.restored.HardState = ready.HardState
	}
	if ready.Snapshot != nil {
		d.restored.Snapshot = ready.Snapshot
		index := ready.Snapshot.GetMetadata().GetIndex()
		remaining := d.restored.Entries[:0:0]
		for _, entry := range d.restored.Entries {
			if entry.GetIndex() > index {
				remaining = append(remaining, entry)
			}
		}
		d.restored.Entries = remaining
	}
	for _, entry := range ready.Entries {
		remaining := d.restored.Entries[:0:0]
		for _, old := range d.restored.Entries {
			if old.GetIndex() < entry.GetIndex() {
				remaining = append(remaining, old)
			}
		}
		d.restored.Entries = append(remaining, entry)
	}
}

// testCluster runs members over an in-memory network, in steps of one millisecond.
type testCluster struct {
	t                  *testing.T
	now                time.Duration
	random             *rand.Rand
	names              []string
	cores              map[string]*Core
	disks              map[string]*testDisk
	inbox              []Message
	isolated           map[string]bool
	lossRate           float64
	syncDelay          bool
	applied            map[string][]string
	committed          map[uint64]string
	leaders            map[uint64]string
	disabledSafeguards safeguard.Set
	retainedEntries    uint64
	// seeds, if set, replace the peers; bootstrap is the current setting of Config.Bootstrap. formationSize is 3 unless set.
	seeds         []string
	bootstrap     bool
	formationSize int
	// peers is the number of named peers, the first ones of names; 3 unless set.
	peers int
	// electionTimeout and heartbeatInterval are the defaults unless set.
	electionTimeout, heartbeatInterval time.Duration
	// formerRule are the members whose builds decide on voters by the former rule.
	formerRule map[string]bool
	// frozen members process nothing and receive nothing.
	frozen map[string]bool
}

func newTestCluster(t *testing.T, size int, seed uint64) *testCluster {
	c := &testCluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, disks: map[string]*testDisk{},
		isolated: map[string]bool{}, frozen: map[string]bool{}, applied: map[string][]string{}, committed: map[uint64]string{}, leaders: map[uint64]string{}}
	for i := range size {
		name := fmt.Sprintf("controller-%d", i+1)
		c.names = append(c.names, name)
		c.disks[name] = &testDisk{restored: Restored{DiskID: name + "/first"}}
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a member with the state of its disk.
func (c *testCluster) start(name string) {
	config := Config{Fleet: "test", Name: name, Address: name, Zone: "zone", Seed: 7, Safeguards: c.disabledSafeguards, RetainedEntries: c.retainedEntries,
		ElectionTimeout: c.electionTimeout, HeartbeatInterval: c.heartbeatInterval}
	if len(c.seeds) > 0 {
		config.Seeds, config.Bootstrap, config.FormationSize = c.seeds, c.bootstrap, cmp.Or(c.formationSize, 3)
	} else {
		for _, peer := range c.names[:min(len(c.names), cmp.Or(c.peers, 3))] {
			config.Peers = append(config.Peers, Peer{Name: peer, Address: peer, Zone: "zone"})
		}
	}
	disk := c.disks[name]
	disk.pending = nil
	core, err := New(config, disk.restored)
	require.NoError(c.t, err)
	if c.formerRule[name] {
		core.planVoters = planByFormerRule
	}
	c.cores[name] = core
	c.applied[name] = nil
}

// step advances all members by one millisecond.
func (c *testCluster) step() {
	c.now += time.Millisecond
	inbox := c.inbox
	c.inbox = nil
	for _, message := range inbox {
		if core := c.cores[message.Address]; core != nil && !c.isolated[message.Address] && !c.frozen[message.Address] {
			_ = core.Step(c.now, proto.CloneOf(message.Message))
		}
	}
	for _, name := range c.names {
		if c.cores[name] == nil || c.frozen[name] {
			continue
		}
		if c.now%(10*time.Millisecond) == 0 {
			c.cores[name].Tick(c.now)
		}
		c.processReady(name)
	}
}

// processReady performs the work that a member returns, and checks what it applies.
func (c *testCluster) processReady(name string) {
	core, disk := c.cores[name], c.disks[name]
	if len(disk.pending) > 0 && (!c.syncDelay || c.random.IntN(5) == 0) {
		for _, ready := range disk.pending {
			disk.write(ready)
		}
		last := disk.pending[len(disk.pending)-1].Batch
		disk.pending = nil
		core.ReportPersisted(c.now, last)
	}
	for ready, hasWork := core.Ready(); hasWork; ready, hasWork = core.Ready() {
		if ready.Batch != 0 {
			disk.pending = append(disk.pending, ready)
		}
		for _, message := range ready.Messages {
			if !c.isolated[name] && c.random.Float64() >= c.lossRate {
				c.inbox = append(c.inbox, message)
			}
		}
		c.apply(name, ready)
	}
	if core.IsLeader() {
		if other, known := c.leaders[core.Term()]; known && other != core.id {
			c.t.Fatalf("two leaders in term %d: %s and %s", core.Term(), other, core.id)
		}
		c.leaders[core.Term()] = core.id
	}
}

// apply records committed entries and compares them with those of every other member.
func (c *testCluster) apply(name string, ready Ready) {
	if ready.Restore != nil {
		c.applied[name] = []string{fmt.Sprintf("snapshot %d", ready.Restore.GetMetadata().GetIndex())}
	}
	for _, entry := range ready.Committed {
		text := fmt.Sprintf("%d/%v/%s", entry.GetTerm(), entry.GetType(), entry.GetData())
		if known, isCommitted := c.committed[entry.GetIndex()]; isCommitted && known != text {
			c.t.Fatalf("%s applies %q at %d where %q was committed", name, text, entry.GetIndex(), known)
		}
		c.committed[entry.GetIndex()] = text
		if entry.GetType() == v1.EntryType_ENTRY_TYPE_COMMAND {
			c.applied[name] = append(c.applied[name], string(entry.GetData()))
		}
	}
}

// stepUntil runs steps until the condition holds, for at most a minute of virtual time.
func (c *testCluster) stepUntil(what string, condition func() bool) {
	c.t.Helper()
	for range 60_000 {
		if condition() {
			return
		}
		c.step()
	}
	c.t.Fatalf("no %s within a minute", what)
}

// leader returns the name of the leader with a valid lease, or "".
func (c *testCluster) leader() string {
	for _, name := range c.names {
		if core := c.cores[name]; core != nil && !c.frozen[name] && core.HasValidLease(c.now) {
			return name
		}
	}
	return ""
}

func (c *testCluster) waitLeader() *Core {
	c.t.Helper()
	c.stepUntil("leader", func() bool { return c.leader() != "" })
	return c.cores[c.leader()]
}
