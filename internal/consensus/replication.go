package consensus

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Propose appends a command and returns its position. The command is committed once Ready returns
// an entry with this index and term among Committed; an entry with another term at this index means
// that the command was lost.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkMayPropose(); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	if c.uncommittedBytes > 0 && c.uncommittedBytes+len(data) > c.config.MaximumUncommittedBytes {
		return 0, 0, trace.Wrap(ErrOverloaded, "%d bytes wait", c.uncommittedBytes)
	}
	c.uncommittedBytes += len(data)
	index = c.append(v1.EntryType_ENTRY_TYPE_COMMAND, data)
	c.broadcastAppend()
	return index, c.term, nil
}

// checkMayPropose returns an error if this member cannot accept proposals now.
func (c *Core) checkMayPropose() error {
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
	c.log.appendEntry(&v1.Entry{Index: index, Term: c.term, Type: entryType, Data: data})
	return index
}

// tickLeader sends heartbeats, and steps down when no quorum has answered for an election timeout.
func (c *Core) tickLeader() {
	quorumLost := c.QuorumSilence() >= c.config.ElectionTimeout
	if quorumLost && c.config.Safeguards.IsEnabled(SafeguardQuorumCheck) {
		c.becomeFollower(c.term, "")
		return
	}
	if c.expireTransfer() {
		return
	}
	if c.now >= c.heartbeatDueAt {
		c.broadcastHeartbeat()
		c.maintainMembership()
	}
}

// QuorumSilence returns the time since a quorum last answered this leader, counted at most from
// the start of its leadership. It returns 0 on other members.
func (c *Core) QuorumSilence() time.Duration {
	if c.role != RoleLeader {
		return 0
	}
	contact := c.quorumTime(c.now, func(p *progress) time.Duration { return p.lastAnswerAt })
	return c.now - max(contact, c.leaderSince)
}

// IsQuorumLate reports whether the time without answers from a quorum has reached half of the time
// after which the leader steps down.
func (c *Core) IsQuorumLate() bool { return c.QuorumSilence() >= c.config.ElectionTimeout/2 }

// broadcastHeartbeat starts a new heartbeat round with every member.
func (c *Core) broadcastHeartbeat() {
	c.heartbeatDueAt = c.now + c.config.HeartbeatInterval
	for _, id := range c.members.ids() {
		if id == c.id {
			continue
		}
		progress := c.progress[id]
		progress.probeInFlight = false
		c.sendAppend(id, progress, true)
	}
}

// broadcastAppend sends new entries to every member that can accept more.
func (c *Core) broadcastAppend() {
	for _, id := range c.members.ids() {
		if id != c.id {
			c.sendAppend(id, c.progress[id], false)
		}
	}
}

// sendAppend sends the next entries to a member. A heartbeat is sent even without entries.
func (c *Core) sendAppend(id string, progress *progress, heartbeat bool) {
	if progress.state == progressSnapshot {
		c.sendDuringSnapshot(id, progress, heartbeat)
		return
	}
	if progress.state == progressProbing && progress.probeInFlight {
		return
	}
	previous := position{index: progress.next - 1}
	term, err := c.log.termAt(previous.index)
	if err != nil {
		c.sendSnapshot(id, progress)
		return
	}
	previous.term = term
	entries := c.entriesFor(progress)
	if len(entries) == 0 && !heartbeat && progress.state == progressReplicating && progress.next <= c.log.last().index {
		return // the window is full; acknowledgements will reopen it
	}
	c.sendAppendAt(id, previous, entries)
	if progress.state == progressProbing {
		progress.probeInFlight = true
		return
	}
	progress.next += uint64(len(entries))
}

// entriesFor returns the entries that fit into the member's window and into one message.
func (c *Core) entriesFor(progress *progress) []*v1.Entry {
	inFlight := progress.next - 1 - progress.match
	if progress.state == progressReplicating && c.isWindowFull(progress) {
		return nil
	}
	entries, err := c.log.entriesFrom(progress.next, c.config.MaximumAppendBytes)
	if err != nil {
		return nil
	}
	room := c.config.MaximumInFlightEntries
	if progress.state == progressReplicating {
		room -= inFlight
	}
	return entries[:min(uint64(len(entries)), room)]
}

// isWindowFull reports whether a member must acknowledge entries before it is sent further ones.
func (c *Core) isWindowFull(progress *progress) bool {
	return progress.next-1-progress.match >= c.config.MaximumInFlightEntries ||
		dataBytes(c.log.entriesBetween(progress.match, progress.next-1)) >= c.config.MaximumInFlightBytes
}

// sendAppendAt sends entries that follow the previous position. The message carries the time of sending as its round,
// so that the acknowledgement proves until when the member still followed this leader.
func (c *Core) sendAppendAt(id string, previous position, entries []*v1.Entry) {
	c.send(id, &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_APPEND, LogIndex: previous.index, LogTerm: previous.term,
		Commit: c.log.commit, Entries: entries, Round: uint64(c.now),
	})
}

// followLeader records contact with the leader of the message's term.
func (c *Core) followLeader(message *v1.ConsensusMessage) {
	c.becomeFollower(message.GetTerm(), message.GetFrom())
	c.leaderContactAt = c.now
	c.endRestart()
}

// handleAppend merges a leader's entries, or answers where the logs diverge.
func (c *Core) handleAppend(message *v1.ConsensusMessage) {
	if c.role == RoleLeader {
		return // a term has only one leader, so this message is forged: ignore it
	}
	c.followLeader(message)
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Round: message.GetRound()}
	previous := position{index: message.GetLogIndex(), term: message.GetLogTerm()}
	end := previous.index + uint64(len(message.GetEntries()))
	switch {
	case end < c.log.commit:
		answer.LogIndex = c.log.commit // all of these entries are committed already
	case c.mayAppendAfter(previous):
		c.mergeEntries(message.GetEntries())
		answer.LogIndex = end
		c.raiseCommit(min(message.GetCommit(), end))
	default:
		hint := c.log.conflictHint(previous.index, previous.term)
		answer.Reject, answer.LogIndex = true, previous.index
		answer.HintIndex, answer.HintTerm = hint.index, hint.term
	}
	c.sendSynced(message.GetFrom(), answer)
}

// mayAppendAfter reports whether entries after the position may be merged.
func (c *Core) mayAppendAfter(previous position) bool {
	if previous.index < c.log.base.index {
		return true // compacted entries are committed, so they match
	}
	if !c.config.Safeguards.IsEnabled(SafeguardConflictCheck) {
		return previous.index <= c.log.last().index
	}
	return c.log.matches(previous)
}

// mergeEntries merges the entries and applies the memberships among them.
func (c *Core) mergeEntries(entries []*v1.Entry) {
	if c.log.merge(entries) == 0 {
		return
	}
	if err := c.reloadMembers(); err != nil {
		// The leader encoded the membership, so one that cannot be decoded was damaged on the way.
		c.log.truncate(entries[0].GetIndex())
	}
}

// raiseCommit raises the commit index of a follower.
func (c *Core) raiseCommit(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last().index))
}

// handleAppendAnswer updates the progress of a member.
func (c *Core) handleAppendAnswer(message *v1.ConsensusMessage) {
	progress := c.progress[message.GetFrom()]
	if c.role != RoleLeader || progress == nil {
		return
	}
	progress.lastAnswerAt, progress.answered = c.now, true
	progress.ackedRoundAt = max(progress.ackedRoundAt, time.Duration(message.GetRound()))
	if message.GetReject() {
		c.handleAppendRejection(message, progress)
		return
	}
	progress.recordAccepted(min(message.GetLogIndex(), c.log.last().index))
	c.advanceCommit()
	c.continueTransfer(message.GetFrom(), progress)
	if c.role == RoleLeader && progress.next <= c.log.last().index {
		c.sendAppend(message.GetFrom(), progress, false)
	}
}

// handleAppendRejection continues the search for the last entry that both logs share.
func (c *Core) handleAppendRejection(message *v1.ConsensusMessage, progress *progress) {
	if message.GetLogIndex() <= progress.match || progress.state == progressSnapshot {
		return // a stale answer
	}
	if progress.state == progressProbing && message.GetLogIndex() != progress.next-1 {
		return
	}
	hint := c.log.conflictHint(message.GetHintIndex(), message.GetHintTerm())
	progress.recordRejected(hint.index)
	c.sendAppend(message.GetFrom(), progress, false)
}

// updateLocalProgress records what this leader itself has synced.
func (c *Core) updateLocalProgress() {
	if local := c.progress[c.id]; local != nil {
		local.match = c.log.stable
		local.state = progressReplicating
		local.lastAnswerAt, local.ackedRoundAt = c.now, c.now
	}
}

// advanceCommit commits the entries that a quorum has synced, counting replicas only for entries
// of the current term.
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
	term, err := c.log.termAt(index)
	if err != nil || term != c.term && c.config.Safeguards.IsEnabled(SafeguardCommitOwnTerm) {
		return
	}
	for _, entry := range c.log.entriesBetween(c.log.commit, index) {
		if entry.GetTerm() == c.term && entry.GetType() == v1.EntryType_ENTRY_TYPE_COMMAND {
			c.uncommittedBytes -= len(entry.GetData())
		}
	}
	endsChange := c.pendingMembershipIndex > c.log.commit && c.pendingMembershipIndex <= index
	c.log.commit = index
	c.broadcastAppend()
	if !c.members.isVoter(c.id) && c.pendingMembershipIndex <= index {
		c.becomeFollower(c.term, "") // this leader is no longer a voter
		return
	}
	if endsChange {
		c.maintainMembership() // a replacement takes two steps, between which the quorum tolerates less
	}
}
