// Package mechanism names the mechanisms that decide on requests and engines, so that experiments can disable one
// and measure its effect. No guarantee depends on them: the mechanisms behind guarantees are safeguards, which no
// setting can disable (package safeguard). Processes that serve users run with the zero Set, which enables every
// mechanism.
package mechanism

import (
	"github.com/gravitational/trace"
)

// Mechanism is the name of a mechanism that an experiment may disable.
type Mechanism string

// Mechanisms of placement. All describes each of them.
const (
	HomeEngines          Mechanism = "homes"
	KVFetch              Mechanism = "fetching"
	TransferEvictionCost Mechanism = "copy-harm"
	AwaitPrefill         Mechanism = "await-reading"
	DirectPrefill        Mechanism = "direct-reading"
	RefusalByWait        Mechanism = "refusal-by-wait"
	RefusalBySlots       Mechanism = "refusal-by-slots"
	RetryAfterSpread     Mechanism = "come-back-spread"
	ShortBeforeLong      Mechanism = "short-before-long"
	ZoneAffinity         Mechanism = "zone-affinity"
	WaitByPrefill        Mechanism = "wait-by-reading"
	StreamPauseCost      Mechanism = "stream-harm"
	ResidualPrefill      Mechanism = "residual-of-reader"
	PausePrediction      Mechanism = "pause-prediction"
	WorkBySpeed          Mechanism = "work-by-speed"
)

// Mechanisms of relays.
const (
	Owners           Mechanism = "owners"
	Reservations     Mechanism = "reservations"
	Spills           Mechanism = "spills"
	Notices          Mechanism = "notices"
	CacheQuery       Mechanism = "cache-reading"
	MeasuredSpeeds   Mechanism = "learnt-pace"
	RunMigration     Mechanism = "run-moves"
	RefusalSuspicion Mechanism = "refusal-suspicion"
	StallWatch       Mechanism = "stall-watch"
	SlowRunMigration Mechanism = "slow-run-migration"
	SlotQueues       Mechanism = "slot-queues"
	ReturnPlans      Mechanism = "return-plans"
)

// Mechanisms of the stage plan.
const (
	StagePlan         Mechanism = "stage-plan"
	ConcurrentChanges Mechanism = "several-at-once"
	TurnBackDelay     Mechanism = "turn-back"
	MinimumShare      Mechanism = "least-share"
	StageGroups       Mechanism = "stage-groups"
	NewEngineStages   Mechanism = "fresh-stages"
	StagesBySpeed     Mechanism = "stages-by-speed"
)

// Description describes a mechanism.
type Description struct {
	Name Mechanism
	// Package is the name of the package that implements the mechanism.
	Package string
	Meaning string
}

// All describes all mechanisms.
var All = []Description{
	{HomeEngines, "placement", "a prompt prefers one engine of its cell among equals"},
	{KVFetch, "placement", "an engine takes the beginning of a prompt from another one"},
	{TransferEvictionCost, "placement", "a copy of a part costs what it drives out of memory"},
	{AwaitPrefill, "placement", "a prompt waits while an engine reads its shared parts for another request"},
	{DirectPrefill, "placement", "decoding engines read short prompts themselves"},
	{RefusalByWait, "placement", "a prompt that would wait too long to be read is refused"},
	{RefusalBySlots, "placement", "a request that would wait long for a slot is refused"},
	{RetryAfterSpread, "placement", "refused clients are told different times to come back"},
	{ShortBeforeLong, "placement", "short prompts are read before long ones of the same rank"},
	{ZoneAffinity, "placement", "back ends of the own zone are preferred"},
	{WaitByPrefill, "placement", "the wait that is borne goes by what is to be read of a prompt"},
	{StreamPauseCost, "placement", "reading at a decoding engine costs the pauses of its streams"},
	{ResidualPrefill, "placement", "what is left of a reading under way counts as a wait"},
	{PausePrediction, "placement", "streams and prefills go where the predicted pause between events keeps the gap targets"},
	{WorkBySpeed, "placement", "prefills that a slow engine completes in time leave the fast engines to those that need them"},
	{Owners, "relay", "the owner of a cell of engines decides for all relays"},
	{Reservations, "relay", "an owner counts what it has assigned until that is told"},
	{Spills, "relay", "a request that would wait long is offered to a further cell"},
	{Notices, "relay", "relays tell owners of their work"},
	{CacheQuery, "relay", "a new owner asks engines what they keep"},
	{MeasuredSpeeds, "relay", "the engines' speeds are learnt from their readings"},
	{RunMigration, "relay", "runs are moved from engines that leave or change"},
	{RefusalSuspicion, "relay", "an engine that refuses although it has room counts as failed"},
	{StallWatch, "relay", "an answer that stays silent is broken off where the request may go elsewhere"},
	{SlowRunMigration, "relay", "streams leave an engine that is too slow to end before their deadlines"},
	{SlotQueues, "slotqueue", "one relay grants the slots of a service for all relays"},
	{ReturnPlans, "returnplan", "refused clients are told times at which slots are set aside for them"},
	{StagePlan, "stageplan", "engines change their stages as the work asks"},
	{ConcurrentChanges, "stageplan", "several engines change at once"},
	{TurnBackDelay, "stageplan", "engines that changed are not turned back at once"},
	{MinimumShare, "stageplan", "each stage keeps a least share of the engines"},
	{StageGroups, "stageplan", "engines change so that each cell keeps both stages"},
	{NewEngineStages, "stageplan", "engines that have just begun to serve take the stage that their cell lacks"},
	{StagesBySpeed, "stageplan", "engines that are too slow to decode within the gap targets prefill"},
}

// Set is a set of disabled mechanisms. The zero Set disables none. A Set is immutable.
type Set struct {
	disabled map[Mechanism]bool
}

// Without returns the Set that disables the named mechanisms. An unknown name is an error.
func Without(names []string) (Set, error) {
	disabled := make(map[Mechanism]bool, len(names))
	for _, name := range names {
		if !isKnown(Mechanism(name)) {
			return Set{}, trace.BadParameter("no mechanism is named %q; see the list in docs/ABLATION.md", name)
		}
		disabled[Mechanism(name)] = true
	}
	return Set{disabled: disabled}, nil
}

func isKnown(name Mechanism) bool {
	for _, known := range All {
		if known.Name == name {
			return true
		}
	}
	return false
}

// IsEnabled reports whether the mechanism is enabled.
func (s Set) IsEnabled(mechanism Mechanism) bool { return !s.disabled[mechanism] }
