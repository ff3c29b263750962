package control

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/authority"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/demand"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/membership"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/shares"
	"github.com/hazelpitch/hazelpitch/internal/truetime"
)

// catchUpAfter is the time since the last tick after which the process is assumed to have been paused.
const catchUpAfter = 4 * TickInterval

// Core is the state machine of one controller. It is owned by one goroutine.
type Core struct {
	config    Config
	consensus *consensus.Core
	state     *controlstate.State
	commander *authority.Commander
	tracker   *membership.Tracker
	divider   *shares.Divider
	demands   *demand.Table
	planning  *planning
	// random is a cryptographically secure generator.
	random *rand.ChaCha8

	now     time.Duration
	outputs []Output
	// tickedAt is the time of the last tick of the replicated log.
	tickedAt time.Duration

	// applied is the log index of the last applied entry; snapshotAt is that of the last snapshot.
	applied    uint64
	snapshotAt uint64
	// entryTerms are the terms of the applied entries.
	entryTerms entryTerms
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot, and snapshotBytes that of the last
	// snapshot.
	bytesSinceSnapshot, snapshotBytes int
	// pageServicesRevision is the revision from which the tracker's page services were read.
	pageServicesRevision uint64

	// pending are the calls that wait for their log entry, by log index.
	pending map[uint64]pendingCall

	leading      bool
	leadingTerm  uint64
	leadingSince time.Duration
	duties       duties
	// deferredOrders describes, by engine, the declared change that may not be ordered now, and the reason.
	deferredOrders map[string]string
	// revisions maps log indexes to the configuration revisions that were applied last.
	revisions revisionIndex

	// listing, watches, updatePace, relays, updates and stages hold the leader's state for the relays of opaque requests.
	listing siteListing
	routes  streamRoutes
	watches waitingWatches
	// updatePace limits the rate of updates to relays.
	updatePace updatePace
	relays     map[string]*relayRecord
	updates    siteUpdates
	// repeatedUpdates counts the updates that were sent again to a relay that had not applied them.
	repeatedUpdates uint64
	stages          stages
	// movesBySpeed counts the engines that were ordered to change their stage by speed.
	movesBySpeed uint64
	usage        siteUsage
	// dutyCalls schedules the leader's calls of the platform's singleton duties.
	dutyCalls *duty.Schedule
	replicas  siteReplicas
	// quarantine tracks requests that must not run because they crash replicas.
	quarantine requestQuarantine
	// limits are the rate limits that back ends set for all processes together.
	limits backEndLimits
	// formats tracks the formats that the other controllers support.
	formats memberFormats
	// localSuspects is the ledger of suspects that is used while the ledger's format is not agreed on.
	localSuspects *quarantine.Ledger
	// heldSuspectChanges are commands to the ledger of suspects that wait until an agreement is applied.
	heldSuspectChanges []suspectChange
	// halted is true once this controller must not process further inputs.
	halted bool
	// clock estimates the time of day on which the controllers agree.
	clock *truetime.Clock
}

// New returns the Core of a controller that starts with the restored content of its disk.
func New(config Config, restored Restored) (*Core, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	random := rand.NewChaCha8(config.Seed)
	replicated, err := consensus.New(consensus.Config{
		Fleet: config.Fleet, Name: config.Name, Address: config.Address, Zone: config.Zone, Peers: config.Peers,
		Seeds: config.Seeds, Bootstrap: config.Bootstrap, FormationSize: config.FormationSize,
		ElectionTimeout: config.ElectionTimeout, HeartbeatInterval: config.HeartbeatInterval,
		RetainedEntries: config.RetainedEntries, Seed: random.Uint64(), Safeguards: config.Safeguards,
	}, restored)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Core{
		config:     config,
		consensus:  replicated,
		state:      controlstate.New(config.Safeguards),
		commander:  authority.New(authority.Config{Leader: config.Name, Safeguards: config.Safeguards}),
		tracker:    membership.New(membership.Config{}),
		divider:    shares.New(0, config.Safeguards),
		demands:    demand.NewTable(),
		planning:   newPlanning(),
		random:     random,
		pending:    map[uint64]pendingCall{},
		updatePace: newUpdatePace(),
		relays:     map[string]*relayRecord{},
		stages:     newStages(),
		usage:      newSiteUsage(config),
		dutyCalls:  newDutySchedule(config),
		clock:      truetime.New(),

		formats:       memberFormats{byMember: map[string]formats.Range{}},
		localSuspects: quarantine.NewLedger(),
		quarantine:    newRequestQuarantine(),
		limits:        newBackEndLimits(),
	}, nil
}

// Step processes one input and returns the outputs, which the owner must carry out in order. The time must not
// decrease between calls.
func (c *Core) Step(now time.Duration, input Input) []Output {
	c.now = max(c.now, now)
	c.outputs = nil
	if c.halted {
		return nil
	}
	c.catchUp()
	c.dispatch(input)
	c.drive()
	c.checkLeadership()
	if _, tick := input.(Tick); tick {
		c.tick()
		c.drive()
	}
	c.answerWatches()
	return c.outputs
}

// catchUp ticks the replicated log after a pause of the process before the input is processed, so that
// no call is answered under a lease that expired during the pause.
func (c *Core) catchUp() {
	if c.now-c.tickedAt > catchUpAfter {
		c.tickConsensus()
	}
}

func (c *Core) tickConsensus() {
	c.tickedAt = c.now
	c.consensus.Tick(c.now)
}

// dispatch passes one input to its handler.
func (c *Core) dispatch(input Input) {
	switch received := input.(type) {
	case Tick:
		c.recordLocalClock(received)
		c.tickConsensus()
		c.updatePace.tick(c.consensus.IsQuorumLate())
	case PeerMessage:
		c.recordPeerClock(received.Message)
		c.recordFormats(received.Message)
		// An error only says why the message was dropped; the sender repeats messages that matter.
		_ = c.consensus.Step(c.now, received.Message)
	case Persisted:
		c.consensus.ReportPersisted(c.now, received.Batch)
	case ApplyReceived:
		c.handleApply(received)
	case PlanReceived:
		c.handlePlan(received)
	case ExecuteReceived:
		c.handleExecute(received)
	case RefusalReceived:
		c.handleRefusal(received)
	case SyncReceived:
		c.handleSync(received)
	case ReportReceived:
		c.handleReport(received)
	case BeginClaimReceived:
		c.handleBeginClaim(received)
	case FinishClaimReceived:
		c.handleFinishClaim(received)
	case MachineListReceived:
		c.handleMachineList(received)
	case OrderAnswered:
		c.commander.RecordOrderAnswer(c.now, received.Engine, received.Fence, received.Answer)
		c.tracker.ExpeditePoll(c.now, received.Engine, orderPollInterval)
	case FenceAnswered:
		c.commander.RecordFenceAnswer(c.now, received.Engine, received.Epoch, received.Answer)
	case PutDocumentReceived:
		c.handlePutDocument(received)
	case ReadDocumentReceived:
		c.handleReadDocument(received)
	case WatchReceived:
		c.handleWatch(received)
	case ListingReceived:
		c.handleListing(received)
	case StageChangeFinished:
		c.handleStageChangeFinished(received)
	case UsageReceived:
		c.handleUsage(received)
	case UsageDelivered:
		c.handleUsageDelivered(received)
	case ReplicaCrashesReceived:
		c.handleReplicaCrashes(received)
	case TrialRequested:
		c.handleTrialRequested(received)
	case VersionsRequested:
		c.handleVersionsRequested(received)
	case PermitRequested:
		c.handlePermitRequested(received)
	case RequestReleased:
		c.handleRequestReleased(received)
	case ReplicaOrderFinished:
		c.handleReplicaOrderFinished(received)
	case SeedsChanged:
		c.consensus.SetSeeds(received.Seeds)
	case StopRequested:
		c.handleStop()
	case EngineStateReceived:
		c.handleEngineState(received)
	}
}

// emit appends an output.
func (c *Core) emit(output Output) { c.outputs = append(c.outputs, output) }

// answer answers a call.
func (c *Core) answer(answer Answer) { c.emit(answer) }

// refuse answers a call with an error.
func (c *Core) refuse(call CallID, err error) { c.emit(Answer{Call: call, Err: classify(err)}) }

// wallMs returns the wall-clock time in milliseconds since the Unix epoch.
func (c *Core) wallMs() int64 { return c.config.WallOrigin + c.now.Milliseconds() }

// sinceOrigin converts a wall-clock time in milliseconds to the time of Step.
func (c *Core) sinceOrigin(wallMs int64) time.Duration {
	return time.Duration(wallMs-c.config.WallOrigin) * time.Millisecond
}

// Operator finds a declared operator in the applied state by the hex SHA-256 of the operator's key.
func (c *Core) Operator(keyHash string) (name string, role v1.OperatorRole, found bool) {
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_OPERATOR) {
		if operator := object.GetOperator(); operator.KeyHash == keyHash {
			return object.Key.Name, operator.Role, true
		}
	}
	return "", v1.OperatorRole_OPERATOR_ROLE_UNSPECIFIED, false
}

// Status is what a controller reports about itself for health checks and metrics.
type Status struct {
	Consensus consensus.Status
	// LeadsWithLease is true while this controller leads with a valid lease.
	LeadsWithLease bool
	Revision       uint64
	// AppliedIndex is the log index of the last applied entry.
	AppliedIndex uint64
	Gateways     int
	Machines     int
	PendingCalls int
	// AgreedFormat is the highest format whose commands take effect here. AgreementBlockers are, at a leader, the names
	// of the members that support less than this build or have not reported their formats.
	AgreedFormat      formats.Number
	AgreementBlockers []string
	Site              SiteStatus
}

// Status returns the status of this controller.
func (c *Core) Status() Status {
	return Status{
		Consensus: c.consensus.Status(), LeadsWithLease: c.leading && c.consensus.HasValidLease(c.now),
		Revision: c.state.Revision(), AppliedIndex: c.applied,
		Gateways: len(c.tracker.Gateways()), Machines: len(c.tracker.Machines()), PendingCalls: len(c.pending) + len(c.heldSuspectChanges),
		AgreedFormat: c.state.AgreedFormat(), AgreementBlockers: c.agreementBlockers(), Site: c.siteStatus(),
	}
}

// Consensus returns the status of the replicated log at this controller.
func (c *Core) Consensus() consensus.Status { return c.consensus.Status() }

// HoldsLease reports whether, as far as this controller knows, it may act as the leader at the time now. At no time may
// two controllers act as the leader.
func (c *Core) HoldsLease(now time.Duration) bool { return c.consensus.HasValidLease(now) }

// State returns the replicated state as applied here. Callers must not change it, and must not
// read it while Step runs.
func (c *Core) State() *controlstate.State { return c.state }
