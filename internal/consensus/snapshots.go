package consensus

import (
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Compact stores a snapshot of the state machine as of the entry at index, and removes the entries
// it covers, except those retained for members that lag slightly. The snapshot is persisted with
// the next batch.
func (c *Core) Compact(index uint64, data []byte) error {
	if index > c.log.applied {
		return trace.Wrap(ErrUnavailable, "snapshot at %d, applied %d", index, c.log.applied)
	}
	if index <= c.log.snapshot.GetMetadata().GetIndex() {
		return trace.Wrap(ErrCompacted, "snapshot at %d", index)
	}
	term, err := c.log.termAt(index)
	if err != nil {
		return trace.Wrap(err)
	}
	membership, err := c.membershipAt(index)
	if err != nil {
		return trace.Wrap(err)
	}
	snapshot := &v1.Snapshot{
		Metadata: &v1.SnapshotMetadata{Index: index, Term: term, Membership: membership},
		Data:     data,
	}
	c.log.compact(snapshot, c.config.RetainedEntries, c.config.RetainedBytes)
	c.outbox.snapshot = snapshot
	return nil
}

// sendSnapshot sends the newest snapshot to a member whose next entries are compacted.
func (c *Core) sendSnapshot(id string, progress *progress) {
	snapshot := c.log.snapshot
	if snapshot == nil {
		return
	}
	progress.state = progressSnapshot
	progress.snapshotIndex = snapshot.GetMetadata().GetIndex()
	progress.snapshotSentAt = c.now
	progress.next = progress.snapshotIndex + 1
	c.send(id, &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_SNAPSHOT, Snapshot: snapshot, Round: uint64(c.now),
	})
}

// sendDuringSnapshot sends heartbeats to a member that is installing a snapshot, and sends the
// snapshot again when no answer has arrived for an election timeout.
func (c *Core) sendDuringSnapshot(id string, progress *progress, heartbeat bool) {
	if c.now-progress.snapshotSentAt >= c.config.ElectionTimeout {
		c.sendSnapshot(id, progress)
		return
	}
	if heartbeat {
		c.sendAppendAt(id, position{}, nil)
	}
}

// handleSnapshot installs the leader's snapshot unless this member has as much committed already.
func (c *Core) handleSnapshot(message *v1.ConsensusMessage) {
	if c.role == RoleLeader {
		return
	}
	c.followLeader(message)
	c.installSnapshot(message.GetSnapshot())
	c.sendSynced(message.GetFrom(), &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER, LogIndex: c.log.commit, Round: message.GetRound(),
	})
}

// installSnapshot replaces log and state by the snapshot when it is ahead of the commit index.
func (c *Core) installSnapshot(snapshot *v1.Snapshot) {
	metadata := snapshot.GetMetadata()
	if metadata.GetIndex() <= c.log.commit {
		return
	}
	if c.log.matches(position{index: metadata.GetIndex(), term: metadata.GetTerm()}) {
		c.raiseCommit(metadata.GetIndex())
		return
	}
	c.log.restore(snapshot)
	c.outbox.snapshot = snapshot
	c.outbox.restore = snapshot
	c.setMembers(metadata.GetMembership())
}

// transfer is a transfer of leadership in progress.
type transfer struct {
	target    string
	startedAt time.Duration
	// timeoutNowSent is true once this leader has asked the target to campaign. This leader's lease is then
	// void for the rest of its term, because voters do not wait for the lease before they vote for the target.
	timeoutNowSent bool
}
