package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Message is a consensus message and the address to send it to.
type Message struct {
	Address string
	Message *v1.ConsensusMessage
}

// Ready is work for the owner of the Core. Its slices and messages must not be modified.
type Ready struct {
	// Batch numbers the state to persist; it is zero when there is none. Snapshot and Entries are
	// nil when unchanged. Each entry replaces all persisted entries at and after its index.
	Batch     uint64
	HardState *v1.HardState
	Snapshot  *v1.Snapshot
	Entries   []*v1.Entry
	// Messages may be sent at once. The algorithm tolerates the loss of any of them.
	Messages []Message
	// Restore, if set, replaces the state machine before Committed is applied; a snapshot without
	// data means the empty state.
	Restore *v1.Snapshot
	// Committed are the next entries to apply; all of them are synced on this disk.
	Committed []*v1.Entry
}

// delayedMessage is a message that waits until a batch is synced.
type delayedMessage struct {
	batch   uint64
	message Message
}

// batchEnd is the end of the log when a batch was passed to the owner.
type batchEnd struct {
	batch uint64
	last  position
}

// outbox collects the work that waits for the owner, or for a sync.
type outbox struct {
	messages  []Message        // may be sent now
	unsynced  []Message        // wait until the next batch, if any, is synced
	delayed   []delayedMessage // wait until a batch that the owner already has is synced
	batchEnds []batchEnd       // of the batches that the owner has and that are not synced
	lastBatch uint64
	synced    uint64
	hardState *v1.HardState // the last one passed to the owner
	snapshot  *v1.Snapshot  // to persist
	restore   *v1.Snapshot  // to pass to the state machine once it is synced
}

// Ready returns the work that has come up since the last call, and whether there is any.
func (c *Core) Ready() (Ready, bool) {
	ready := Ready{}
	c.collectBatch(&ready)
	c.delayUnsynced()
	ready.Messages, c.outbox.messages = c.outbox.messages, nil
	c.collectCommitted(&ready)
	hasWork := ready.Batch != 0 || len(ready.Messages) > 0 || ready.Restore != nil || len(ready.Committed) > 0
	return ready, hasWork
}

// collectBatch collects the state that must be persisted.
func (c *Core) collectBatch(ready *Ready) {
	hardState := c.hardState()
	if hardState.GetTerm() != c.outbox.hardState.GetTerm() || hardState.GetVotedFor() != c.outbox.hardState.GetVotedFor() {
		ready.HardState = hardState
	}
	ready.Snapshot, c.outbox.snapshot = c.outbox.snapshot, nil
	ready.Entries = c.log.entriesBetween(c.log.handedOut, c.log.last().index)
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		return
	}
	if ready.HardState == nil {
		ready.HardState = hardState
	}
	c.outbox.hardState = ready.HardState
	c.outbox.lastBatch++
	ready.Batch = c.outbox.lastBatch
	c.log.handedOut = c.log.last().index
	c.outbox.batchEnds = append(c.outbox.batchEnds, batchEnd{batch: ready.Batch, last: c.log.last()})
}

// hardState returns the state that must survive a restart.
func (c *Core) hardState() *v1.HardState {
	state := &v1.HardState{Term: c.term, VotedFor: c.votedFor, Commit: min(c.log.commit, c.log.last().index)}
	if !c.config.Safeguards.IsEnabled(SafeguardVotePersistence) {
		state.VotedFor = ""
	}
	return state
}

// delayUnsynced releases the messages that depend on a sync if all batches are synced, and otherwise delays them until
// the last batch is synced.
func (c *Core) delayUnsynced() {
	waiting := c.outbox.unsynced
	c.outbox.unsynced = nil
	allSynced := c.outbox.synced == c.outbox.lastBatch || !c.config.Safeguards.IsEnabled(SafeguardSyncBeforeAnswer)
	for _, message := range waiting {
		if allSynced {
			c.release(message)
		} else {
			c.outbox.delayed = append(c.outbox.delayed, delayedMessage{batch: c.outbox.lastBatch, message: message})
		}
	}
}

// release queues a message for sending; a message to this member itself is processed at once.
func (c *Core) release(message Message) {
	if message.Message.GetTo() == c.id {
		c.stepLocal(message.Message)
		return
	}
	c.outbox.messages = append(c.outbox.messages, message)
}

// collectCommitted collects the snapshot and the entries that the state machine must apply.
func (c *Core) collectCommitted(ready *Ready) {
	if restore := c.outbox.restore; restore != nil {
		if c.log.stable < restore.GetMetadata().GetIndex() {
			return
		}
		ready.Restore, c.outbox.restore = restore, nil
		c.log.applied = restore.GetMetadata().GetIndex()
	}
	limit := min(c.log.commit, c.log.stable)
	ready.Committed = c.log.entriesBetween(c.log.applied, limit)
	c.log.applied = max(c.log.applied, limit)
}
