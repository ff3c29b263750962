package control

import (
	"errors"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
)

// drive processes everything that the replicated log has ready.
func (c *Core) drive() {
	for {
		ready, some := c.consensus.Ready()
		if !some || c.halted {
			return
		}
		c.processReady(ready)
	}
}

func (c *Core) processReady(ready consensus.Ready) {
	if ready.Batch != 0 {
		c.emit(Persist{Batch: ready.Batch, HardState: ready.HardState, Entries: ready.Entries, Snapshot: ready.Snapshot})
	}
	for _, message := range ready.Messages {
		message.Message.TimeOfDayMs = c.clock.LocalTime(c.now)
		if message.Message.GetFrom() == c.consensus.ID() { // probes of other members are forwarded unchanged
			message.Message.Formats = c.advertisedFormats().ToWire()
		}
		c.emit(SendPeer{Address: message.Address, Message: message.Message})
	}
	if ready.Restore != nil {
		c.restore(ready.Restore)
	}
	for _, entry := range ready.Committed {
		if c.halted {
			return
		}
		c.applyEntry(entry)
	}
	c.snapshotIfDue()
}

// restore replaces the state by a snapshot.
func (c *Core) restore(snapshot *v1.Snapshot) {
	state, err := controlstate.Restore(snapshot.GetData(), c.config.Safeguards)
	if errors.Is(err, controlstate.ErrUnknownCommand) {
		c.halt(err)
		return
	}
	if err != nil {
		// The snapshot was checked when it was written and when it was read. With another state
		// than its peers, this controller would break every guarantee of the replicated state.
		panic("control: the replicated state cannot be restored: " + err.Error())
	}
	agreed := c.suspects()
	c.state = state
	c.retainSuspects(agreed)
	c.applied = snapshot.GetMetadata().GetIndex()
	c.entryTerms = entryTermsOf(snapshot, state)
	c.recordSnapshot(snapshot.GetData())
	c.revisions.add(c.applied, c.state.Revision())
	c.refreshPageServices()
}

// applyEntry applies one committed entry and answers the call that waits for it.
func (c *Core) applyEntry(entry *v1.Entry) {
	c.applied = entry.Index
	c.entryTerms.record(entry.Term)
	c.bytesSinceSnapshot += len(entry.Data)
	call, waiting := c.pending[entry.Index]
	delete(c.pending, entry.Index)
	if waiting && call.term != entry.Term {
		c.failPendingCall(call)
		waiting = false
	}
	if entry.Type != v1.EntryType_ENTRY_TYPE_COMMAND {
		if waiting {
			call.finish(c, controlstate.Result{})
		}
		return
	}
	command := &v1.Command{}
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		// All replicas read the same bytes and skip the same entry.
		command = &v1.Command{}
	}
	agreed := c.suspects()
	result := c.state.Apply(entry.Index, command)
	c.halt(result.Err)
	c.retainSuspects(agreed)
	c.notifyApplied(command)
	c.revisions.add(entry.Index, c.state.Revision())
	if waiting {
		call.finish(c, result)
	}
}

// notifyApplied informs the commander, the tracker and the list of back ends of an applied command.
func (c *Core) notifyApplied(command *v1.Command) {
	if command.GetServedVersions() != nil {
		c.publishRecorded()
	}
	switch body := command.GetBody().(type) {
	case *v1.Command_ApplyDeclaration:
		c.refreshPageServices()
	case *v1.Command_RecordEngine:
		c.commander.ClearPendingProposal(body.RecordEngine.GetEngine().GetEngine())
	case *v1.Command_FinishOrder:
		c.commander.ClearPendingProposal(body.FinishOrder.GetEngine())
	case *v1.Command_IssueOrder:
		c.commander.WithdrawOrder(body.IssueOrder.GetOrder().GetEngine())
	}
}

// refreshPageServices tells the tracker which services are page services.
func (c *Core) refreshPageServices() {
	if c.pageServicesRevision == c.state.Revision() && c.pageServicesRevision != 0 {
		return
	}
	c.pageServicesRevision = c.state.Revision()
	pages := map[string]bool{}
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_SERVICE) {
		if object.GetService().Type == v1.ServiceType_SERVICE_TYPE_PAGE {
			pages[object.Key.Name] = true
		}
	}
	c.tracker.SetPageServices(pages)
}

// snapshotIfDue compacts the log with a snapshot of the state, if one is due.
func (c *Core) snapshotIfDue() {
	if !c.isSnapshotDue() {
		return
	}
	data, err := c.state.Snapshot()
	if err != nil {
		return // retried with the next entry; the log is not truncated
	}
	if c.consensus.Compact(c.applied, data) == nil {
		c.recordSnapshot(data)
	}
}

// isSnapshotDue reports whether enough entries, or enough bytes of them, were applied since the last snapshot. If snapshots are
// large, they are written as often as the entries amount to the size of one.
func (c *Core) isSnapshotDue() bool {
	return c.applied-c.snapshotAt >= c.config.SnapshotEntries ||
		c.bytesSinceSnapshot >= max(c.config.SnapshotBytes, c.snapshotBytes)
}

// recordSnapshot records that the state was written as a snapshot, or replaced by one.
func (c *Core) recordSnapshot(data []byte) {
	c.snapshotAt = c.applied
	c.bytesSinceSnapshot, c.snapshotBytes = 0, len(data)
}
