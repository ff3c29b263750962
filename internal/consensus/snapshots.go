package consensus

import (
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Compact takes a snapshot of the state machine after the entry at index was
// applied, and drops the entries it covers but for those retained for members that
// lag a little. The snapshot is persisted with the next batch.
func (c *Core) Compact(index uint64, data []byte) error {
	if index > c.log.applied {
		return trace.Wrap(ErrUnavailable, "snapshot at %d, applied %d", index, c.log.applied)
	}
	if index <= c.log.snapshot.GetMetadata().GetIndex() {
		return trace.Wrap(ErrCompacted, "snapshot at %d", index)
	}
	term, err := c.log.term(index)
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
	c.log.compact(snapshot, c.config.RetainedEntries)
	c.out.snapshot = snapshot
	return nil
}

// sendSnapshot sends the newest snapshot to a member whose next entries are gone.
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

// sendDuringSnapshot keeps a member that takes a snapshot alive, and sends the
// snapshot again when no answer has come for an election timeout.
func (c *Core) sendDuringSnapshot(id string, progress *progress, heartbeat bool) {
	if c.now-progress.snapshotSentAt >= c.config.ElectionTimeout {
		c.sendSnapshot(id, progress)
		return
	}
	if heartbeat {
		c.sendAppendAt(id, position{}, nil)
	}
}

// answerSnapshot replaces log and state by the leader's snapshot unless this member
// holds as much already.
func (c *Core) answerSnapshot(message *v1.ConsensusMessage) {
	if c.role == RoleLeader {
		return
	}
	c.followLeader(message)
	c.takeSnapshot(message.GetSnapshot())
	c.sendSynced(message.GetFrom(), &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER, LogIndex: c.log.commit, Round: message.GetRound(),
	})
}

// takeSnapshot applies the snapshot when it is ahead of what is committed here.
func (c *Core) takeSnapshot(snapshot *v1.Snapshot) {
	metadata := snapshot.GetMetadata()
	if metadata.GetIndex() <= c.log.commit {
		return
	}
	if c.log.matches(position{index: metadata.GetIndex(), term: metadata.GetTerm()}) {
		c.commitTo(metadata.GetIndex())
		return
	}
	c.log.restore(snapshot)
	c.out.snapshot = snapshot
	c.out.restore = snapshot
	c.setMembers(metadata.GetMembership())
}

// transfer is a handing over of leadership.
type transfer struct {
	target    string
	startedAt time.Duration
	// sent tells that the target was told to campaign: this leader's lease is void
	// for the rest of its term, since votes for the target do not wait for it.
	sent bool
}
