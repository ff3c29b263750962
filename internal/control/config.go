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

// TickInterval is the interval at which the owner of a Core sends Tick.
const TickInterval = 50 * time.Millisecond

// Defaults of Config.
const (
	// DefaultSnapshotEntries is the number of applied entries after which the Core writes
	// a snapshot of the state and truncates the log.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes is the size of the applied entries after which the Core writes a snapshot, whatever their
	// number. A configuration document may be as large as several MiB, and the smallest disks have 128 MB.
	DefaultSnapshotBytes = 8 << 20
	// DefaultPlanInterval is the time between two decisions of the planner.
	DefaultPlanInterval = time.Second
)

// Config configures a Core. Zero values of the times mean their defaults unless stated otherwise.
type Config struct {
	// Fleet, Name, Zone and Address are required. Address is the IP:port at which peers,
	// gateways and operators call this controller.
	Fleet   string
	Name    string
	Zone    string
	Address string
	// Peers are the initial voters, including this controller.
	Peers []consensus.Peer
	// Seeds, Bootstrap and FormationSize replace Peers where only some controllers are known;
	// see consensus.Config.
	Seeds         []string
	Bootstrap     bool
	FormationSize int
	// ListingInterval is the time between the leader's reads of the external list of back ends;
	// 0 means that there is no such list.
	ListingInterval time.Duration
	// PriorPrefillShare is the share of the listed engines that do prefill until relays have reported
	// their work; 0 leaves the roles of listed engines unchanged.
	PriorPrefillShare float64
	// Without are mechanisms that are switched off; empty in production.
	Without mechanism.Set
	// OrderWait is how long a new leader waits before its first order to a listed engine.
	OrderWait time.Duration
	// OrderLifetime is how long after the Core emitted an order the order may reach a listed engine. The next
	// leader starts to lead after that emission and sends its first order OrderWait later, so OrderWait
	// minus OrderLifetime is the minimum time between the orders of two leaders.
	OrderLifetime time.Duration
	// Usage says how tenants' usage is counted and reported; the zero value switches this off.
	Usage usage.Config
	// ReadServices parses the services of the operator's document, from which the Core reads how many replicas each
	// may have; nil means that the Core orders no replicas. It must be pure and fast: a leader calls it for each document.
	ReadServices func(content []byte) ([]serving.Service, error)
	// NamedServices returns the services that an operator's document names, or none when it cannot parse it;
	// nil accepts all services. It must be pure and fast: a leader calls it for each document.
	NamedServices func(content []byte) []string
	// OnDemandShare is the share of the operator's initial replicas of a service that always stays on demand. The
	// others may be replaced by spot replicas, which the platform may withdraw.
	OnDemandShare float64
	// DutyInterval is the minimum time between two calls of the platform's singleton duties. DutyLifetime
	// is how long after the Core emitted such a call the call may reach the platform. A new leader makes its
	// first call OrderWait after it starts to lead.
	DutyInterval time.Duration
	DutyLifetime time.Duration
	// WallOrigin is the wall-clock time at time 0 of Step, in milliseconds since
	// the Unix epoch.
	WallOrigin        int64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// PlanInterval is the time between two decisions of the planner; a negative value
	// switches the planner off.
	PlanInterval time.Duration
	// NewPlanner creates the planner of a service; nil means planner.New.
	NewPlanner func(service string) planner.Planner
	// EngineProfile returns the planner's assumptions about engines with a declared
	// profile name; nil means planner.ProfileOf.
	EngineProfile func(name string) planner.EngineProfile
	// The Core writes a snapshot after SnapshotEntries applied entries, or after SnapshotBytes of them.
	SnapshotEntries uint64
	SnapshotBytes   int
	// RetainedEntries is how many log entries before a snapshot stay in memory for controllers whose log
	// lags slightly; 0 means the default of internal/consensus.
	RetainedEntries uint64
	// Seed must come from a cryptographic source, because cache salts are derived from it.
	Seed       [32]byte
	Safeguards safeguard.Set
}

// Restored is the content of the disk at the start of the process.
type Restored = consensus.Restored

// Safeguards of the control core.
const (
	// SafeguardRevisionOrder prevents a node from getting a revision below its own.
	SafeguardRevisionOrder safeguard.Safeguard = "ordered revisions"
	// SafeguardLeaseRead answers queries only while the leader's lease is valid.
	SafeguardLeaseRead safeguard.Safeguard = "lease read"
)

func (c Config) withDefaults() Config {
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
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
