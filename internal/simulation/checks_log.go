package simulation

import (
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// ballot identifies one disk's vote in one term.
type ballot struct {
	disk string
	term uint64
}

// entryPosition is the index and term of an entry.
type entryPosition struct{ index, term uint64 }

// logChecks verify the replicated log: election safety, one vote per term, log matching, agreement, durability on a
// quorum, and that only members that have caught up become voters.
type logChecks struct {
	checks *checks
	// leaders holds the leader of each term; votes holds the candidate for which each ballot was cast.
	leaders map[uint64]string
	votes   map[ballot]string
	// written holds the content hash of every entry that was written to any log.
	written map[entryPosition]uint64
	// committed holds the mark of every entry that any controller has applied.
	committed map[uint64]entryMark
	highest   uint64
	// synced holds, by disk, the log that the disk has acknowledged as synced. Lost disks stay in it.
	synced map[string]*shadowLog
	// hardStates holds the last hard state that each disk has acknowledged.
	hardStates map[string]*v1.HardState
	// led holds, by disk, the last term in which the controller on that disk led; digests holds the digest of the
	// replicated state at each applied index.
	led     map[string]uint64
	digests map[uint64]stateDigest
}

// stateDigest summarizes a replicated state.
type stateDigest struct {
	revision uint64
	epoch    uint64
	content  uint64
}

func newLogChecks(c *checks) logChecks {
	return logChecks{
		checks: c, leaders: map[uint64]string{}, votes: map[ballot]string{}, written: map[entryPosition]uint64{},
		committed: map[uint64]entryMark{}, synced: map[string]*shadowLog{}, hardStates: map[string]*v1.HardState{},
		led: map[string]uint64{}, digests: map[uint64]stateDigest{},
	}
}

// checkRestored checks that a disk still holds what it acknowledged.
func (l *logChecks) checkRestored(c *controller, restored consensus.Restored) {
	before, hardState := l.synced[restored.DiskID], l.hardStates[restored.DiskID]
	restoredLog := &shadowLog{}
	restoredLog.load(restored)
	l.synced[restored.DiskID] = restoredLog
	if before == nil {
		return
	}
	if restored.HardState.GetTerm() < hardState.GetTerm() ||
		restored.HardState.GetTerm() == hardState.GetTerm() && restored.HardState.GetVotedFor() != hardState.GetVotedFor() {
		l.checks.fail("durable state", "%s had synced term %d and vote %q and has term %d and vote %q", restored.DiskID,
			hardState.GetTerm(), hardState.GetVotedFor(), restored.HardState.GetTerm(), restored.HardState.GetVotedFor())
	}
	for index := max(before.first, restoredLog.first); index <= before.last; index++ {
		mark, known := l.committed[index]
		if known && mark == before.marks[index] && restoredLog.marks[index] != mark {
			l.checks.fail("durable state", "%s had synced the committed entry %d and lost it", restored.DiskID, index)
			return
		}
	}
}

// recordSynced records what a disk has acknowledged.
func (l *logChecks) recordSynced(c *controller, batches []control.Persist) {
	log := l.synced[c.diskID]
	for _, batch := range batches {
		log.apply(batch)
		if batch.HardState != nil {
			l.hardStates[c.diskID] = batch.HardState
		}
	}
}

// checkMessage checks a message between controllers.
func (l *logChecks) checkMessage(c *controller, message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_APPEND, v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		l.checkLeader(c, message.GetTerm())
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

// checkLeader checks that a term has one leader.
func (l *logChecks) checkLeader(c *controller, term uint64) {
	if other, known := l.leaders[term]; known && other != c.diskID {
		l.checks.fail("election safety", "%s and %s both lead term %d", other, c.diskID, term)
	}
	l.leaders[term] = c.diskID
}

// checkPersist checks what a core writes to its log.
func (l *logChecks) checkPersist(c *controller, batch control.Persist) {
	for _, entry := range batch.Entries {
		position := entryPosition{index: entry.GetIndex(), term: entry.GetTerm()}
		content := markOf(entry).content
		if other, known := l.written[position]; known && other != content {
			l.checks.fail("log matching", "%s writes entry %s with other content than was written before", c.name, entryText(entry))
		}
		l.written[position] = content
	}
	c.shadow.apply(batch)
}

// afterStep compares the entries and the state that a core has applied with those of the other controllers' cores.
func (l *logChecks) afterStep(c *controller, status consensus.Status) {
	for index := c.shadow.checked + 1; index <= status.Applied; index++ {
		l.checkApplied(c, index)
	}
	c.shadow.checked = max(c.shadow.checked, status.Applied)
	if status.Role == consensus.RoleLeader {
		l.checkPromoted(c, status)
		l.checkLeader(c, status.Term)
		l.checkComplete(c, status)
		l.checkDurableOnQuorum(c, status)
		l.checkToleratedLosses(c, status)
	}
	l.compareStates(c)
}

// checkApplied checks one applied entry.
func (l *logChecks) checkApplied(c *controller, index uint64) {
	mark, isHeld := c.shadow.marks[index]
	if !isHeld {
		return // covered by a snapshot
	}
	if committed, known := l.committed[index]; known {
		if committed != mark {
			l.checks.fail("agreement", "%s applies entry %d of term %d where one of term %d was committed",
				c.name, index, mark.term, committed.term)
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
	l.checks.orders.recordCommitted(index, command)
	l.checks.answers.recordCommitted(command)
}

// checkComplete checks, once per term, that the leader's log holds every committed entry.
func (l *logChecks) checkComplete(c *controller, status consensus.Status) {
	if l.led[c.diskID] == status.Term {
		return
	}
	l.led[c.diskID] = status.Term
	l.checks.world.trace.add(l.checks.world.now, c.name, "leads term %d, log ends at %d", status.Term, status.LastIndex)
	for index := c.shadow.first; index <= l.highest; index++ {
		committed, known := l.committed[index]
		if known && c.shadow.marks[index] != committed {
			l.checks.fail("committed entries stay", "%s leads term %d without the committed entry %d", c.name, status.Term, index)
			return
		}
	}
}

// checkDurableOnQuorum checks that the entry that a leader counts as committed is synced on more than half of the
// voters' disks.
func (l *logChecks) checkDurableOnQuorum(c *controller, status consensus.Status) {
	mark, isHeld := c.shadow.marks[status.Commit]
	if !isHeld || status.Commit <= c.quorumChecked {
		return
	}
	c.quorumChecked = status.Commit
	voters, synced := countVoters(status.Membership, func(disk string) bool { return l.diskHolds(disk, status.Commit, mark) })
	if synced*2 <= voters {
		l.checks.fail("durable on a quorum", "%s commits entry %d, synced on %d of %d disks", c.name, status.Commit, synced, voters)
	}
}

// countVoters counts the voters of a membership, and those whose disks satisfy the predicate.
func countVoters(membership *v1.Membership, satisfies func(disk string) bool) (voters, satisfied int) {
	for _, member := range membership.GetMembers() {
		if member.GetLearner() {
			continue
		}
		voters++
		if satisfies(member.GetId()) {
			satisfied++
		}
	}
	return voters, satisfied
}

// checkToleratedLosses checks that a quorum of the leader's voters remains after as many further losses of disks as the
// fleet is to survive. The disks of controllers that are not voters yet count among the lost ones.
func (l *logChecks) checkToleratedLosses(c *controller, status consensus.Status) {
	if status.Membership == c.toleranceChecked {
		return
	}
	c.toleranceChecked = status.Membership
	voters, existing := countVoters(status.Membership, func(disk string) bool { return l.checks.world.controllerWithDisk(disk) != nil })
	controllers := l.checks.world.options.Deployment.Controllers
	tolerated := (controllers-1)/2 - max(0, controllers-existing)
	if existing-tolerated <= voters/2 {
		l.checks.fail("enough voters", "%s leads %d voters, of which %d exist; %d more disks may be lost", c.name, voters, existing, tolerated)
	}
}

// diskHolds reports whether a disk has acknowledged the entry or a snapshot that covers it.
func (l *logChecks) diskHolds(disk string, index uint64, mark entryMark) bool {
	log := l.synced[disk]
	return log != nil && (log.marks[index] == mark || index < log.first)
}

// checkPromoted checks that a member that becomes a voter holds all committed entries.
func (l *logChecks) checkPromoted(c *controller, status consensus.Status) {
	before, after := c.membership, status.Membership
	c.membership = after
	if before == nil || before == after || l.led[c.diskID] != status.Term {
		return // voters that were promoted under an earlier leader
	}
	wasVoter := map[string]bool{}
	for _, member := range before.GetMembers() {
		wasVoter[member.GetId()] = !member.GetLearner()
	}
	for _, member := range after.GetMembers() {
		if member.GetLearner() || wasVoter[member.GetId()] {
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

// fullDigestInterval is the number of applied entries between two comparisons of whole states.
const fullDigestInterval = 16

// compareStates compares the state with those of the other controllers at the same applied index.
func (l *logChecks) compareStates(c *controller) {
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
