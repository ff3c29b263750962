package simulation

import (
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// ballot is one disk's vote in one term.
type ballot struct {
	disk string
	term uint64
}

// place is an index and a term.
type place struct{ index, term uint64 }

// logChecks watch the replicated log: election safety, one vote a term, log
// matching, agreement, durability on a quorum, and who may become a voter.
type logChecks struct {
	checks *checks
	// leaders and votes are who led and who was voted for.
	leaders map[uint64]string
	votes   map[ballot]string
	// written is the content of every entry that any log held.
	written map[place]uint64
	// committed is the mark of every entry that any controller applied.
	committed map[uint64]entryMark
	highest   uint64
	// synced is what each disk, also a lost one, has acknowledged.
	synced map[string]*shadowLog
	// hardStates are the last acknowledged by each disk.
	hardStates map[string]*v1.HardState
	// led is the last term in which each process was seen to lead, digests the state
	// at applied indexes.
	led     map[string]uint64
	digests map[uint64]stateDigest
}

// stateDigest stands for a replicated state.
type stateDigest struct {
	revision uint64
	epoch    uint64
	content  uint64
}

func newLogChecks(c *checks) logChecks {
	return logChecks{
		checks: c, leaders: map[uint64]string{}, votes: map[ballot]string{}, written: map[place]uint64{},
		committed: map[uint64]entryMark{}, synced: map[string]*shadowLog{}, hardStates: map[string]*v1.HardState{},
		led: map[string]uint64{}, digests: map[uint64]stateDigest{},
	}
}

// started checks that a disk still holds what it acknowledged.
func (l *logChecks) started(c *controller, restored consensus.Restored) {
	had, hardState := l.synced[restored.DiskID], l.hardStates[restored.DiskID]
	found := &shadowLog{}
	found.load(restored)
	l.synced[restored.DiskID] = found
	if had == nil {
		return
	}
	if restored.HardState.GetTerm() < hardState.GetTerm() ||
		restored.HardState.GetTerm() == hardState.GetTerm() && restored.HardState.GetVotedFor() != hardState.GetVotedFor() {
		l.checks.fail("durable state", "%s had synced term %d and vote %q and has term %d and vote %q", restored.DiskID,
			hardState.GetTerm(), hardState.GetVotedFor(), restored.HardState.GetTerm(), restored.HardState.GetVotedFor())
	}
	for index := max(had.first, found.first); index <= had.last; index++ {
		mark, known := l.committed[index]
		if known && mark == had.marks[index] && found.marks[index] != mark {
			l.checks.fail("durable state", "%s had synced the committed entry %d and lost it", restored.DiskID, index)
			return
		}
	}
}

// saved takes note of what a disk has acknowledged.
func (l *logChecks) saved(c *controller, batches []control.Persist) {
	log := l.synced[c.diskID]
	for _, batch := range batches {
		log.take(batch)
		if batch.HardState != nil {
			l.hardStates[c.diskID] = batch.HardState
		}
	}
}

// sent watches the messages between controllers.
func (l *logChecks) sent(c *controller, message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_APPEND, v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		l.leads(c, message.GetTerm())
	case v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		if message.GetReject() {
			return
		}
		cast := ballot{disk: c.diskID, term: message.GetTerm()}
		if earlier, voted := l.votes[cast]; voted && earlier != message.GetTo() {
			l.checks.fail("one vote a term", "%s votes in term %d for %s after %s", c.diskID, cast.term, message.GetTo(), earlier)
		}
		l.votes[cast] = message.GetTo()
	}
}

// leads checks that a term has one leader.
func (l *logChecks) leads(c *controller, term uint64) {
	if other, known := l.leaders[term]; known && other != c.diskID {
		l.checks.fail("election safety", "%s and %s both lead term %d", other, c.diskID, term)
	}
	l.leaders[term] = c.diskID
}

// persisting watches what a core writes to its log.
func (l *logChecks) persisting(c *controller, batch control.Persist) {
	for _, entry := range batch.Entries {
		at := place{index: entry.GetIndex(), term: entry.GetTerm()}
		content := markOf(entry).content
		if other, known := l.written[at]; known && other != content {
			l.checks.fail("log matching", "%s writes another entry %s than was written before", c.name, entryText(entry))
		}
		l.written[at] = content
	}
	c.shadow.take(batch)
}

// stepped compares what a core has applied with every other's.
func (l *logChecks) stepped(c *controller, status consensus.Status) {
	for index := c.shadow.checked + 1; index <= status.Applied; index++ {
		l.applied(c, index)
	}
	c.shadow.checked = max(c.shadow.checked, status.Applied)
	if status.Role == consensus.RoleLeader {
		l.promoted(c, status)
		l.leads(c, status.Term)
		l.complete(c, status)
		l.durableOnQuorum(c, status)
	}
	l.agree(c)
}

// applied checks one applied entry.
func (l *logChecks) applied(c *controller, index uint64) {
	mark, held := c.shadow.marks[index]
	if !held {
		return // covered by a snapshot
	}
	if settled, known := l.committed[index]; known {
		if settled != mark {
			l.checks.fail("agreement", "%s applies entry %d of term %d where one of term %d was committed",
				c.name, index, mark.term, settled.term)
		}
		return
	}
	l.committed[index] = mark
	l.highest = max(l.highest, index)
	entry := c.shadow.entries[index]
	if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
		return
	}
	command := &v1.Command{}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		l.checks.fail("agreement", "entry %d cannot be read: %v", index, err)
		return
	}
	l.checks.orders.committed(index, command)
	l.checks.answers.committed(command)
}

// complete checks once a term that a leader holds every committed entry.
func (l *logChecks) complete(c *controller, status consensus.Status) {
	if l.led[c.diskID] == status.Term {
		return
	}
	l.led[c.diskID] = status.Term
	l.checks.world.trace.add(l.checks.world.now, c.name, "leads term %d, log ends at %d", status.Term, status.LastIndex)
	for index := c.shadow.first; index <= l.highest; index++ {
		settled, known := l.committed[index]
		if known && c.shadow.marks[index] != settled {
			l.checks.fail("committed entries stay", "%s leads term %d without the committed entry %d", c.name, status.Term, index)
			return
		}
	}
}

// durableOnQuorum checks that what a leader counts as committed is synced on more
// than half of the voters' disks.
func (l *logChecks) durableOnQuorum(c *controller, status consensus.Status) {
	mark, held := c.shadow.marks[status.Commit]
	if !held || status.Commit <= c.quorumChecked {
		return
	}
	c.quorumChecked = status.Commit
	voters, have := 0, 0
	for _, member := range status.Membership.GetMembers() {
		if member.GetLearner() {
			continue
		}
		voters++
		if l.diskHolds(member.GetId(), status.Commit, mark) {
			have++
		}
	}
	if have*2 <= voters {
		l.checks.fail("durable on a quorum", "%s commits entry %d, synced on %d of %d disks", c.name, status.Commit, have, voters)
	}
}

// diskHolds reports whether a disk has acknowledged the entry.
func (l *logChecks) diskHolds(disk string, index uint64, mark entryMark) bool {
	log := l.synced[disk]
	return log != nil && (log.marks[index] == mark || index < log.first)
}

// promoted checks that a member that becomes a voter holds all that is committed.
func (l *logChecks) promoted(c *controller, status consensus.Status) {
	before, after := c.membership, status.Membership
	c.membership = after
	if before == nil || before == after || l.led[c.diskID] != status.Term {
		return // members that an earlier leader made voters
	}
	voted := map[string]bool{}
	for _, member := range before.GetMembers() {
		voted[member.GetId()] = !member.GetLearner()
	}
	for _, member := range after.GetMembers() {
		if member.GetLearner() || voted[member.GetId()] {
			continue
		}
		log := l.synced[member.GetId()]
		l.checks.world.trace.add(l.checks.world.now, c.name, "makes %s a voter", member.GetId())
		if log == nil || log.last < status.Commit {
			l.checks.fail("caught up before voting", "%s makes %s a voter, whose disk does not hold the committed entry %d",
				c.name, member.GetId(), status.Commit)
		}
	}
}

// fullDigestInterval is how many applied entries lie between two comparisons of
// whole states.
const fullDigestInterval = 16

// agree compares the state with the others' at the same applied index.
func (l *logChecks) agree(c *controller) {
	applied := c.status().Applied
	if applied == c.digestAt {
		return
	}
	c.digestAt = applied
	epoch, _ := c.core.State().Authority()
	digest := stateDigest{revision: c.core.State().Revision(), epoch: epoch}
	if applied%fullDigestInterval == 0 {
		digest.content = c.digest()
	}
	if other, known := l.digests[applied]; known && other != digest {
		l.checks.fail("agreement", "%s is at revision %d, epoch %d, content %x after entry %d; another was at %d, %d, %x",
			c.name, digest.revision, digest.epoch, digest.content, applied, other.revision, other.epoch, other.content)
	}
	l.digests[applied] = digest
}
