package consensus

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Propose appends a command and returns its position. The command is committed once
// an entry with this index and this term is handed out by Ready; an entry of another
// term at the index means that it was lost.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.observe(now)
	if err := c.mayPropose(); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	if c.uncommitted > 0 && c.uncommitted+len(data) > c.config.MaximumUncommittedBytes {
		return 0, 0, trace.Wrap(ErrOverloaded, "%d bytes wait", c.uncommitted)
	}
	c.uncommitted += len(data)
	index = c.append(v1.EntryType_ENTRY_TYPE_COMMAND, data)
	c.broadcastAppend()
	return index, c.term, nil
}

// mayPropose refuses proposals that this member cannot order.
func (c *Core) mayPropose() error {
	if c.role != RoleLeader {
		return trace.Wrap(ErrNotLeader, "role is %v", c.role)
	}
	if c.transfer.target != "" {
		return trace.Wrap(ErrTransferring, "to %q", c.transfer.target)
	}
	return nil
}

// append adds an entry of this leader's term and returns its index.
func (c *Core) append(entryType v1.EntryType, data []byte) uint64 {
	index := c.log.last().index + 1
	c.log.add(&v1.Entry{Index: index, Term: c.term, Type: entryType, Data: data})
	return index
}

// tickLeader sends heartbeats and steps down when no quorum has answered for an
// election timeout.
func (c *Core) tickLeader() {
	silent := c.QuorumSilence() >= c.config.ElectionTimeout
	if silent && c.config.Safeguards.On(SafeguardQuorumCheck) {
		c.becomeFollower(c.term, "")
		return
	}
	if c.transferOverdue() {
		return
	}
	if c.now >= c.heartbeatDueAt {
		c.broadcastHeartbeat()
		c.maintainMembership()
	}
}

// QuorumSilence is how long ago this leader heard of a quorum last, as far as it has led; 0 for others.
func (c *Core) QuorumSilence() time.Duration {
	if c.role != RoleLeader {
		return 0
	}
	heard := c.quorumTime(c.now, func(p *progress) time.Duration { return p.heardAt })
	return c.now - max(heard, c.leaderSince)
}

// IsQuorumLate reports whether a leader has not heard of a quorum for so long that it is halfway to
// stepping down.
func (c *Core) IsQuorumLate() bool { return c.QuorumSilence() >= c.config.ElectionTimeout/2 }

// broadcastHeartbeat starts a new round with every member.
func (c *Core) broadcastHeartbeat() {
	c.heartbeatDueAt = c.now + c.config.HeartbeatInterval
	for _, id := range c.members.ids() {
		if id == c.id {
			continue
		}
		progress := c.progress[id]
		progress.probeSent = false
		c.sendAppend(id, progress, true)
	}
}

// broadcastAppend sends what is new to every member that takes more.
func (c *Core) broadcastAppend() {
	for _, id := range c.members.ids() {
		if id != c.id {
			c.sendAppend(id, c.progress[id], false)
		}
	}
}

// sendAppend sends the next entries to a member; a heartbeat is sent even without any.
func (c *Core) sendAppend(id string, progress *progress, heartbeat bool) {
	if progress.state == progressSnapshot {
		c.sendDuringSnapshot(id, progress, heartbeat)
		return
	}
	if progress.state == progressProbing && progress.probeSent {
		return
	}
	previous := position{index: progress.next - 1}
	term, err := c.log.term(previous.index)
	if err != nil {
		c.sendSnapshot(id, progress)
		return
	}
	previous.term = term
	entries := c.entriesFor(progress)
	if len(entries) == 0 && !heartbeat && progress.state == progressReplicating && progress.next <= c.log.last().index {
		return // the window is full; answers will open it
	}
	c.sendAppendAt(id, previous, entries)
	if progress.state == progressProbing {
		progress.probeSent = true
		return
	}
	progress.next += uint64(len(entries))
}

// entriesFor returns the entries that fit the member's window and one message.
func (c *Core) entriesFor(progress *progress) []*v1.Entry {
	inFlight := progress.next - 1 - progress.match
	if progress.state == progressReplicating && inFlight >= c.config.MaximumInFlightEntries {
		return nil
	}
	entries, err := c.log.from(progress.next, c.config.MaximumAppendBytes)
	if err != nil {
		return nil
	}
	room := c.config.MaximumInFlightEntries
	if progress.state == progressReplicating {
		room -= inFlight
	}
	return entries[:min(uint64(len(entries)), room)]
}

// sendAppendAt sends entries that follow the previous position. The round is the
// sending time, so that the answer proves when this member was still followed.
func (c *Core) sendAppendAt(id string, previous position, entries []*v1.Entry) {
	c.send(id, &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_APPEND, LogIndex: previous.index, LogTerm: previous.term,
		Commit: c.log.commit, Entries: entries, Round: uint64(c.now),
	})
}

// followLeader takes any message of the term's leader as a sign of life.
func (c *Core) followLeader(message *v1.ConsensusMessage) {
	c.becomeFollower(message.GetTerm(), message.GetFrom())
	c.leaderHeardAt = c.now
	c.endRestart()
}

// answerAppend takes a leader's entries, or tells where the logs part.
func (c *Core) answerAppend(message *v1.ConsensusMessage) {
	if c.role == RoleLeader {
		return // two leaders in one term cannot be; never follow a forged one
	}
	c.followLeader(message)
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Round: message.GetRound()}
	previous := position{index: message.GetLogIndex(), term: message.GetLogTerm()}
	end := previous.index + uint64(len(message.GetEntries()))
	switch {
	case end < c.log.commit:
		answer.LogIndex = c.log.commit // all of it is known and settled
	case c.follows(previous):
		c.mergeEntries(message.GetEntries())
		answer.LogIndex = end
		c.commitTo(min(message.GetCommit(), end))
	default:
		hint := c.log.conflictHint(previous.index, previous.term)
		answer.Reject, answer.LogIndex = true, previous.index
		answer.HintIndex, answer.HintTerm = hint.index, hint.term
	}
	c.sendSynced(message.GetFrom(), answer)
}

// follows reports whether entries after the position may be merged.
func (c *Core) follows(previous position) bool {
	if previous.index < c.log.base.index {
		return true // compacted entries are committed, so they match
	}
	if !c.config.Safeguards.On(SafeguardConflictCheck) {
		return previous.index <= c.log.last().index
	}
	return c.log.matches(previous)
}

// mergeEntries takes the entries and the membership they may carry.
func (c *Core) mergeEntries(entries []*v1.Entry) {
	if c.log.merge(entries) == 0 {
		return
	}
	if err := c.reloadMembers(); err != nil {
		// The leader encoded the membership; one that cannot be read came damaged.
		c.log.truncate(entries[0].GetIndex())
	}
}

// commitTo raises the commit index of a follower.
func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last().index))
}

// takeAppendAnswer updates what the leader knows about a member.
func (c *Core) takeAppendAnswer(message *v1.ConsensusMessage) {
	progress := c.progress[message.GetFrom()]
	if c.role != RoleLeader || progress == nil {
		return
	}
	progress.heardAt = c.now
	progress.ackedAt = max(progress.ackedAt, time.Duration(message.GetRound()))
	if message.GetReject() {
		c.takeRejection(message, progress)
		return
	}
	progress.answered(min(message.GetLogIndex(), c.log.last().index))
	c.advanceCommit()
	c.continueTransfer(message.GetFrom(), progress)
	if c.role == RoleLeader && progress.next <= c.log.last().index {
		c.sendAppend(message.GetFrom(), progress, false)
	}
}

// takeRejection searches for the last common entry.
func (c *Core) takeRejection(message *v1.ConsensusMessage, progress *progress) {
	if message.GetLogIndex() <= progress.match || progress.state == progressSnapshot {
		return // an old answer
	}
	if progress.state == progressProbing && message.GetLogIndex() != progress.next-1 {
		return
	}
	hint := c.log.conflictHint(message.GetHintIndex(), message.GetHintTerm())
	progress.rejected(hint.index)
	c.sendAppend(message.GetFrom(), progress, false)
}

// ownProgress records what this leader has synced itself.
func (c *Core) ownProgress() {
	if own := c.progress[c.id]; own != nil {
		own.match = c.log.stable
		own.state = progressReplicating
		own.heardAt, own.ackedAt = c.now, c.now
	}
}

// advanceCommit commits what a quorum has synced, counting only entries of this term.
func (c *Core) advanceCommit() {
	voters := c.members.voters()
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= c.log.commit {
		return
	}
	term, err := c.log.term(index)
	if err != nil || term != c.term && c.config.Safeguards.On(SafeguardCommitOwnTerm) {
		return
	}
	for _, entry := range c.log.between(c.log.commit, index) {
		if entry.GetTerm() == c.term && entry.GetType() == v1.EntryType_ENTRY_TYPE_COMMAND {
			c.uncommitted -= len(entry.GetData())
		}
	}
	c.log.commit = index
	c.broadcastAppend()
	if !c.members.votes(c.id) && c.pendingMember <= index {
		c.becomeFollower(c.term, "") // this leader was removed
	}
}
