package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Message is a consensus message and the address it goes to.
type Message struct {
	Address string
	Message *v1.ConsensusMessage
}

// Ready is work for the owner of the Core. Its slices and messages must not be changed.
type Ready struct {
	// Batch numbers what has to be persisted; zero when there is nothing. HardState,
	// Snapshot and Entries are nil when unchanged. An entry replaces every entry at
	// its index and after it.
	Batch     uint64
	HardState *v1.HardState
	Snapshot  *v1.Snapshot
	Entries   []*v1.Entry
	// Messages may be sent at once; each may be lost.
	Messages []Message
	// Restore, when set, replaces the state machine before Committed is applied; no
	// data means the empty state.
	Restore *v1.Snapshot
	// Committed are the next entries to apply; all are synced on this disk.
	Committed []*v1.Entry
}

// heldMessage waits for a batch to be synced.
type heldMessage struct {
	batch   uint64
	message Message
}

// batchEnd is where the log ended when a batch was handed out.
type batchEnd struct {
	batch uint64
	last  position
}

// outbox holds what waits to be handed out or to be synced.
type outbox struct {
	messages  []Message     // may leave now
	unsynced  []Message     // wait for the next batch
	held      []heldMessage // wait for a batch already handed out
	ends      []batchEnd    // batches handed out and not synced
	lastBatch uint64
	synced    uint64
	hardState *v1.HardState // last one handed out
	snapshot  *v1.Snapshot  // to persist
	restore   *v1.Snapshot  // to give to the state machine once it is synced
}

// Ready returns the work that has come up since the last call, and whether there is any.
func (c *Core) Ready() (Ready, bool) {
	ready := Ready{}
	c.collectBatch(&ready)
	c.holdUnsynced()
	ready.Messages, c.out.messages = c.out.messages, nil
	c.collectCommitted(&ready)
	some := ready.Batch != 0 || len(ready.Messages) > 0 || ready.Restore != nil || len(ready.Committed) > 0
	return ready, some
}

// collectBatch gathers what has to be persisted.
func (c *Core) collectBatch(ready *Ready) {
	hardState := c.hardState()
	if hardState.GetTerm() != c.out.hardState.GetTerm() || hardState.GetVotedFor() != c.out.hardState.GetVotedFor() {
		ready.HardState = hardState
	}
	ready.Snapshot, c.out.snapshot = c.out.snapshot, nil
	ready.Entries = c.log.between(c.log.handed, c.log.last().index)
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		return
	}
	if ready.HardState == nil {
		ready.HardState = hardState
	}
	c.out.hardState = ready.HardState
	c.out.lastBatch++
	ready.Batch = c.out.lastBatch
	c.log.handed = c.log.last().index
	c.out.ends = append(c.out.ends, batchEnd{batch: ready.Batch, last: c.log.last()})
}

// hardState returns the state that must survive a restart.
func (c *Core) hardState() *v1.HardState {
	state := &v1.HardState{Term: c.term, VotedFor: c.votedFor, Commit: min(c.log.commit, c.log.last().index)}
	if !c.config.Safeguards.IsEnabled(SafeguardVotePersistence) {
		state.VotedFor = ""
	}
	return state
}

// holdUnsynced lets messages wait for the batches that are not synced yet.
func (c *Core) holdUnsynced() {
	waiting := c.out.unsynced
	c.out.unsynced = nil
	free := c.out.synced == c.out.lastBatch || !c.config.Safeguards.IsEnabled(SafeguardSyncBeforeAnswer)
	for _, message := range waiting {
		if free {
			c.release(message)
		} else {
			c.out.held = append(c.out.held, heldMessage{batch: c.out.lastBatch, message: message})
		}
	}
}

// release sends a message; a message to this member itself is taken at once.
func (c *Core) release(message Message) {
	if message.Message.GetTo() == c.id {
		c.stepOwn(message.Message)
		return
	}
	c.out.messages = append(c.out.messages, message)
}

// collectCommitted gathers what the state machine has to take.
func (c *Core) collectCommitted(ready *Ready) {
	if restore := c.out.restore; restore != nil {
		if c.log.stable < restore.GetMetadata().GetIndex() {
			return
		}
		ready.Restore, c.out.restore = restore, nil
		c.log.applied = restore.GetMetadata().GetIndex()
	}
	limit := min(c.log.commit, c.log.stable)
	ready.Committed = c.log.between(c.log.applied, limit)
	c.log.applied = max(c.log.applied, limit)
}
