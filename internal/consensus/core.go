package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/voterplan"
)

// Role is the current Raft role of a member.
type Role int

// Roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Core is one member of the consensus group. See the package documentation for its use.
type Core struct {
	config Config
	id     string
	random *rand.Rand
	outbox outbox

	term     uint64
	votedFor string
	log      *entryLog
	members  memberSet
	role     Role
	leader   string
	// now is the time of the current call.
	now     time.Duration
	started bool

	// State of followers and candidates.
	leaderContactAt time.Duration
	electionDueAt   time.Duration
	votes           map[string]bool
	probeDueAt      time.Duration
	probeAnswers    map[string]*v1.Member
	reports         formationReports
	updatedSeeds    []string
	addresses       map[string]string
	transferElected bool
	restart         restart
	election        electionRecord

	// State of the leader.
	progress               map[string]*progress
	heartbeatDueAt         time.Duration
	leaderSince            time.Duration
	leaderStartIndex       uint64 // index of the leader's first entry
	pendingMembershipIndex uint64 // index of the membership entry not committed yet
	uncommittedBytes       int    // bytes proposed and not committed
	transfer               transfer
	decisions              decisionRecord
	// planVoters is voterplan.Rules.Next; tests replace it.
	planVoters func(voterplan.Rules, []voterplan.Member) voterplan.Plan
}

// New returns a member that starts as a follower with the state restored from its disk.
func New(config Config, restored Restored) (*Core, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if restored.DiskID == "" {
		return nil, trace.BadParameter("consensus: restored disk has no identity")
	}
	log, err := newEntryLog(restored)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	core := &Core{
		config:    config,
		id:        restored.DiskID,
		random:    rand.New(rand.NewPCG(config.Seed, hash(restored.DiskID))),
		term:      max(restored.HardState.GetTerm(), log.last().term),
		votedFor:  restored.HardState.GetVotedFor(),
		log:       log,
		addresses: make(map[string]string),

		planVoters: voterplan.Rules.Next,
	}
	core.outbox.hardState = core.hardState()
	if restored.Snapshot != nil {
		core.outbox.restore = restored.Snapshot
	}
	if err := core.reloadMembers(); err != nil {
		return nil, trace.Wrap(err)
	}
	return core, nil
}

// hash maps an identity to 64 bits, to seed the random numbers differently for each member.
func hash(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return sum.Sum64()
}

// advanceClock sets the time of the current call. The first call also starts the timers: this
// member may have acknowledged a leader's heartbeat just before its process stopped, so it waits
// for a whole election timeout before it votes.
func (c *Core) advanceClock(now time.Duration) {
	c.now = max(c.now, now)
	if !c.started {
		c.started = true
		c.now = now
		c.leaderContactAt = now
		c.resetElection()
		c.beginRestart()
	}
}

// resetElection sets a random election timeout.
func (c *Core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDueAt = c.now + c.config.ElectionTimeout + spread
}

// Tick processes the passage of time. Call it at least every half heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.members.empty() {
		if c.isSeeded() {
			c.tickSeededFormation()
		} else {
			c.tickFormation()
		}
		return
	}
	c.tickLearner()
	c.tickRejoin()
	c.tickRestart()
	if c.now < c.electionDueAt {
		return
	}
	if c.members.isVoter(c.id) {
		c.campaign(c.config.Safeguards.IsEnabled(SafeguardPreVote))
		return
	}
	c.leader = "" // this member has no vote and cannot elect another leader, but must not report a silent one
}

// Step processes a message from another member. The error states why a message was dropped; it
// is for logs and tests only.
func (c *Core) Step(now time.Duration, message *v1.ConsensusMessage) error {
	c.advanceClock(now)
	if err := c.checkMessage(message); err != nil {
		return trace.Wrap(err)
	}
	if sender := message.GetSender(); sender.GetAddress() != "" {
		c.addresses[message.GetFrom()] = sender.GetAddress()
	}
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_PROBE, v1.MessageType_MESSAGE_TYPE_PROBE_ANSWER:
		c.handleFormationMessage(message)
		return nil
	}
	if message.GetTo() != c.id {
		return trace.Wrap(ErrUnknownMember, "message to disk %q reached disk %q", message.GetTo(), c.id)
	}
	c.step(message)
	return nil
}

// checkMessage rejects messages that a correct controller of this fleet does not send.
func (c *Core) checkMessage(message *v1.ConsensusMessage) error {
	if message.GetFleet() != c.config.Fleet {
		return trace.Wrap(ErrOtherFleet, "from %q of fleet %q", message.GetFrom(), message.GetFleet())
	}
	if message.GetFrom() == "" || message.GetFrom() == c.id {
		return trace.Wrap(ErrInvalidMessage, "sender %q", message.GetFrom())
	}
	next := message.GetLogIndex() + 1
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() != next || entry.GetTerm() > message.GetTerm() {
			return trace.Wrap(ErrInvalidMessage, "entry %d of term %d where %d was due", entry.GetIndex(), entry.GetTerm(), next)
		}
		next++
	}
	return nil
}

// step dispatches a message by its type, after the checks of its term.
func (c *Core) step(message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		c.recordVoteAnswer(message)
	}
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.handlePreVote(message)
		return
	case v1.MessageType_MESSAGE_TYPE_VOTE:
		c.handleVote(message)
		return
	case v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		c.handlePreVoteAnswer(message)
		return
	case v1.MessageType_MESSAGE_TYPE_RESTART_PROBE:
		c.handleRestartProbe(message)
		return
	}
	if message.GetTerm() < c.term {
		c.rejectStaleTerm(message)
		return
	}
	if message.GetTerm() > c.term {
		c.becomeFollower(message.GetTerm(), "")
	}
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		c.handleVoteAnswer(message)
	case v1.MessageType_MESSAGE_TYPE_APPEND:
		c.handleAppend(message)
	case v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.handleSnapshot(message)
	case v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, v1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		c.handleAppendAnswer(message)
	case v1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		c.handleTimeoutNow(message)
	case v1.MessageType_MESSAGE_TYPE_RESTART_ANSWER:
		c.handleRestartAnswer(message)
	}
}

// rejectStaleTerm sends the current term to a deposed leader, so that it steps down.
func (c *Core) rejectStaleTerm(message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_APPEND, v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.sendSynced(message.GetFrom(), &v1.ConsensusMessage{
			Type: v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Reject: true, HintIndex: c.log.last().index,
		})
	}
}

// stepLocal processes a message from this member to itself, after the state it depends on is synced.
func (c *Core) stepLocal(message *v1.ConsensusMessage) {
	if message.GetTerm() == c.term && message.GetType() == v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER {
		c.handleVoteAnswer(message)
	}
}

// ReportPersisted records that the batch and all batches before it are written and synced.
func (c *Core) ReportPersisted(now time.Duration, batch uint64) {
	c.advanceClock(now)
	if batch <= c.outbox.synced || batch > c.outbox.lastBatch {
		return
	}
	c.outbox.synced = batch
	synced := 0
	for _, end := range c.outbox.batchEnds {
		if end.batch > batch {
			break
		}
		synced++
		if c.log.matches(end.last) {
			c.log.stable = max(c.log.stable, min(end.last.index, c.log.handedOut))
		}
	}
	c.outbox.batchEnds = c.outbox.batchEnds[synced:]
	c.releaseDelayed(batch)
	if c.role == RoleLeader {
		c.updateLocalProgress()
		c.advanceCommit()
	}
}

// releaseDelayed sends the messages that were delayed until the batch was synced.
func (c *Core) releaseDelayed(batch uint64) {
	delayed := c.outbox.delayed
	c.outbox.delayed = nil
	for i, waiting := range delayed {
		if waiting.batch > batch {
			c.outbox.delayed = append(c.outbox.delayed, delayed[i:]...)
			return
		}
		c.release(waiting.message)
	}
}

// becomeFollower makes this member a follower in the term; leader is the identity of the term's leader, empty if unknown.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.term = term
		c.votedFor = ""
	}
	wasLeader := c.role == RoleLeader
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transfer = transfer{}
	if wasLeader || leader != "" {
		c.election = electionRecord{}
		c.resetElection()
	}
}
