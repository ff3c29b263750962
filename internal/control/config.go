package control

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// TickInterval is how often the owner of a Core sends Tick.
const TickInterval = 50 * time.Millisecond

// Defaults of Config.
const (
	// DefaultSnapshotEntries is the number of applied entries after which the state
	// is written out as a snapshot and the log is cut.
	DefaultSnapshotEntries = 8192
	// DefaultPlanInterval is the time between two decisions of the planner.
	DefaultPlanInterval = time.Second
)

// Config configures a Core. Zero values of the times mean the defaults.
type Config struct {
	// Fleet, Name, Zone and Address are required; Address is the IP:port that
	// peers, gateways and operators call.
	Fleet   string
	Name    string
	Zone    string
	Address string
	// Peers are the initial voters, this controller among them.
	Peers []consensus.Peer
	// Seeds, Bootstrap and FormationSize take the place of Peers where only some
	// controllers are known; see consensus.Config.
	Seeds         []string
	Bootstrap     bool
	FormationSize int
	// ListingInterval is the time between the leader's readings of the outside list of
	// back ends; 0 means that there is no such list.
	ListingInterval time.Duration
	// PriorPrefillShare is the part of the listed engines that read prompts until work is
	// known; 0 leaves the roles of listed engines alone.
	PriorPrefillShare float64
	// Without are mechanisms that are left out; none for users.
	Without mechanism.Set
	// OrderWait is how long a new leader waits before its first order to a listed engine.
	OrderWait time.Duration
	// OrderLifetime is how long after its emission an order may reach a listed engine. A successor
	// begins to lead after the emission, so its first order comes OrderWait later: OrderWait
	// less OrderLifetime is the least time between the orders of two leaders.
	OrderLifetime time.Duration
	// Usage tells how tenants' usage is counted and told; the zero value leaves it.
	Usage usage.Config
	// ReadConfiguration reads the operator's document where the number of replicas is ours to order;
	// nil leaves it. It must be pure.
	ReadConfiguration func(content []byte) (serving.Configuration, error)
	// NamedServices returns the services that an operator's document names, none where it cannot tell; nil
	// leaves it. It must be pure, and quick: a leader calls it for each document.
	NamedServices func(content []byte) []string
	// OnDemandShare is the part of a service's replicas that is never replaced by ones which the platform
	// may take away.
	OnDemandShare float64
	// DutyInterval is the least time between two calls of the platform's singleton duties, DutyLife
	// how long after its emission one may reach the platform. A new leader calls OrderWait after it
	// begins to lead.
	DutyInterval time.Duration
	DutyLifetime time.Duration
	// WallOrigin is the wall-clock time at time 0 of Step, in milliseconds since
	// the Unix epoch.
	WallOrigin        int64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// PlanInterval is the time between two decisions of the planner; negative
	// switches the planner off.
	PlanInterval time.Duration
	// NewPlanner makes the planner of one service; nil means planner.New.
	NewPlanner func(service string) planner.Planner
	// EngineProfile returns the planner's assumptions on engines with a declared
	// profile name; nil means planner.ProfileOf.
	EngineProfile   func(name string) planner.EngineProfile
	SnapshotEntries uint64
	// RetainedEntries is how many entries before a snapshot are kept for controllers
	// that lag a little; 0 means the default of internal/consensus.
	RetainedEntries uint64
	// Seed must come from a cryptographic source: cache salts are drawn from it.
	Seed       [32]byte
	Safeguards safeguard.Set
}

// Restored is what the disk held when the process started.
type Restored = consensus.Restored

// Safeguards of the control core.
const (
	// SafeguardRevisionOrder never answers a node with a revision below its own.
	SafeguardRevisionOrder safeguard.Safeguard = "ordered revisions"
	// SafeguardLeaseRead answers queries only while the leader's lease is valid.
	SafeguardLeaseRead safeguard.Safeguard = "lease read"
)

func (c Config) withDefaults() Config {
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.PlanInterval == 0 {
		c.PlanInterval = DefaultPlanInterval
	}
	if c.NewPlanner == nil {
		c.NewPlanner = func(string) planner.Planner { return planner.New() }
	}
	if c.EngineProfile == nil {
		c.EngineProfile = planner.ProfileOf
	}
	return c
}

func (c Config) check() error {
	if c.Seed == [32]byte{} {
		return trace.BadParameter("control: the seed is zero; fill it from a cryptographic source")
	}
	return nil
}
