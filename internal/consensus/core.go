package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Role is what a member is at the moment.
type Role int

// Roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Core is one member of the quorum.
type Core struct {
	config Config
	id     string
	random *rand.Rand
	out    outbox

	term     uint64
	votedFor string
	log      *entryLog
	members  memberSet
	role     Role
	leader   string
	// now is the time of the call being served.
	now     time.Duration
	started bool

	// Follower and candidate.
	leaderHeardAt   time.Duration
	electionDueAt   time.Duration
	votes           map[string]bool
	probeDueAt      time.Duration
	probeAnswers    map[string]*v1.Member
	reports         formationReports
	laterSeeds      []string
	addresses       map[string]string
	transferElected bool
	restart         restart

	// Leader.
	progress       map[string]*progress
	heartbeatDueAt time.Duration
	leaderSince    time.Duration
	leaderStart    uint64 // index of the leader's first entry
	pendingMember  uint64 // index of the membership entry not committed yet
	uncommitted    int    // bytes proposed and not committed
	transfer       transfer
}

// New returns a member that starts as a follower with what its disk held.
func New(config Config, restored Restored) (*Core, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
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
	}
	core.out.hardState = core.hardState()
	if restored.Snapshot != nil {
		core.out.restore = restored.Snapshot
	}
	if err := core.reloadMembers(); err != nil {
		return nil, trace.Wrap(err)
	}
	return core, nil
}

// hash spreads an identity over 64 bits.
func hash(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return sum.Sum64()
}

// observe takes the time of a call. The first call starts the clocks: this member
// may have answered a leader just before it stopped, so it waits a whole election
// timeout before it votes.
func (c *Core) observe(now time.Duration) {
	c.now = max(c.now, now)
	if !c.started {
		c.started = true
		c.now = now
		c.leaderHeardAt = now
		c.resetElection()
		c.startRestart()
	}
}

// resetElection draws the next election timeout.
func (c *Core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDueAt = c.now + c.config.ElectionTimeout + spread
}

// Tick tells that time has passed. Call it at least every half heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.observe(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.members.empty() {
		if c.seeded() {
			c.tickSeededFormation()
		} else {
			c.tickFormation()
		}
		return
	}
	c.tickLearner()
	c.tickOutsider()
	c.tickRestart()
	if c.now < c.electionDueAt {
		return
	}
	if c.members.votes(c.id) {
		c.campaign(c.config.Safeguards.On(SafeguardPreVote))
		return
	}
	c.leader = "" // it can't elect another one, but must not be taken to hear this one
}

// Step takes a message of another member. The error tells why a message was
// dropped; it is for logs and tests only.
func (c *Core) Step(now time.Duration, message *v1.ConsensusMessage) error {
	c.observe(now)
	if err := c.checkMessage(message); err != nil {
		return trace.Wrap(err)
	}
	if sender := message.GetSender(); sender.GetAddress() != "" {
		c.addresses[message.GetFrom()] = sender.GetAddress()
	}
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_PROBE, v1.MessageType_MESSAGE_TYPE_PROBE_ANSWER:
		c.stepFormation(message)
		return nil
	}
	if message.GetTo() != c.id {
		return trace.Wrap(ErrUnknownMember, "message to disk %q reached disk %q", message.GetTo(), c.id)
	}
	c.step(message)
	return nil
}

// checkMessage refuses messages that cannot come from a sound controller of the fleet.
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

// step dispatches a message after the rules on terms.
func (c *Core) step(message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.answerPreVote(message)
		return
	case v1.MessageType_MESSAGE_TYPE_VOTE:
		c.answerVote(message)
		return
	case v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		c.takePreVote(message)
		return
	case v1.MessageType_MESSAGE_TYPE_RESTART_PROBE:
		c.answerRestartProbe(message)
		return
	}
	if message.GetTerm() < c.term {
		c.correctStale(message)
		return
	}
	if message.GetTerm() > c.term {
		c.becomeFollower(message.GetTerm(), "")
	}
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		c.takeVote(message)
	case v1.MessageType_MESSAGE_TYPE_APPEND:
		c.answerAppend(message)
	case v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.answerSnapshot(message)
	case v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, v1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		c.takeAppendAnswer(message)
	case v1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		c.takeTimeoutNow(message)
	case v1.MessageType_MESSAGE_TYPE_RESTART_ANSWER:
		c.takeRestartAnswer(message)
	}
}

// correctStale tells a deposed leader the current term, so that it steps down.
func (c *Core) correctStale(message *v1.ConsensusMessage) {
	switch message.GetType() {
	case v1.MessageType_MESSAGE_TYPE_APPEND, v1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.sendSynced(message.GetFrom(), &v1.ConsensusMessage{
			Type: v1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Reject: true, HintIndex: c.log.last().index,
		})
	}
}

// stepOwn takes a message of this member to itself, once what it promises is synced.
func (c *Core) stepOwn(message *v1.ConsensusMessage) {
	if message.GetTerm() == c.term && message.GetType() == v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER {
		c.takeVote(message)
	}
}

// ReportPersisted tells that the batch and every one before it are written and synced.
func (c *Core) ReportPersisted(now time.Duration, batch uint64) {
	c.observe(now)
	if batch <= c.out.synced || batch > c.out.lastBatch {
		return
	}
	c.out.synced = batch
	done := 0
	for _, end := range c.out.ends {
		if end.batch > batch {
			break
		}
		done++
		if c.log.matches(end.last) {
			c.log.stable = max(c.log.stable, min(end.last.index, c.log.handed))
		}
	}
	c.out.ends = c.out.ends[done:]
	c.releaseHeld(batch)
	if c.role == RoleLeader {
		c.ownProgress()
		c.advanceCommit()
	}
}

// releaseHeld sends the messages that waited for the batch.
func (c *Core) releaseHeld(batch uint64) {
	held := c.out.held
	c.out.held = nil
	for i, waiting := range held {
		if waiting.batch > batch {
			c.out.held = append(c.out.held, held[i:]...)
			return
		}
		c.release(waiting.message)
	}
}

// becomeFollower follows the leader of the term; an empty leader is unknown.
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
		c.resetElection()
	}
}
