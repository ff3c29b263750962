package consensus

import (
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Defaults of Config.
const (
	DefaultElectionTimeout         = time.Second
	DefaultHeartbeatInterval       = 100 * time.Millisecond
	DefaultClockDrift              = 0.02
	DefaultMaximumAppendBytes      = 512 << 10
	DefaultMaximumInFlightEntries  = 4096
	DefaultMaximumInFlightBytes    = 4 << 20
	DefaultMaximumUncommittedBytes = 16 << 20
	DefaultRetainedEntries         = 4096
	DefaultRetainedBytes           = 4 << 20
)

// leaseShare is the fraction of the election timeout for which a leader lease lasts, before
// the allowance for clock drift is subtracted.
const leaseShare = 0.8

// Peer is one controller of the initial quorum, as named in the settings.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// Config configures a Core. Zero values of the tuning fields select the defaults.
type Config struct {
	// Fleet, Name and Address are required; Name is unique in the fleet.
	Fleet   string
	Name    string
	Address string
	Zone    string
	// Peers are the initial voters, including this controller. For a controller that joins
	// later, they are the controllers that it asks for admission.
	Peers []Peer
	// Seeds, when not empty, replaces Peers. It lists the addresses of some of the controllers,
	// any of which may be down. Every controller becomes a voter; see formation_seeds.go.
	Seeds []string
	// Bootstrap states that the fleet starts for the first time, on empty disks. The first seed
	// may form the quorum only then.
	Bootstrap bool
	// FormationSize is the minimum number of controllers that must have reported before the
	// first seed forms the quorum.
	FormationSize int
	// ElectionTimeout is the shortest time without a message of the leader after which a
	// follower campaigns.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ClockDrift is the maximum deviation of the rate of any controller's clock from real time, as
	// a fraction of real time.
	ClockDrift float64
	// MaximumAppendBytes limits the entries in one message.
	MaximumAppendBytes int
	// MaximumInFlightEntries limits the entries sent to one member and not yet acknowledged. MaximumInFlightBytes limits
	// their data; the last message may exceed it.
	MaximumInFlightEntries uint64
	MaximumInFlightBytes   int
	// MaximumUncommittedBytes limits the proposals that are not yet committed.
	MaximumUncommittedBytes int
	// RetainedEntries is the number of entries before a snapshot that stay in memory, so that
	// members that lag slightly do not need the snapshot. RetainedBytes limits the data of these entries.
	RetainedEntries uint64
	RetainedBytes   int
	// Seed seeds the random part of the election timeout.
	Seed       uint64
	Safeguards safeguard.Set
}

// Restored is the content of a controller's disk when its process started.
type Restored struct {
	// DiskID is the identity of the disk, created when the disk was first used. Required.
	DiskID    string
	HardState *v1.HardState
	Snapshot  *v1.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*v1.Entry
}

// withDefaults returns the configuration with zero tuning fields set to their defaults.
func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ClockDrift == 0 {
		c.ClockDrift = DefaultClockDrift
	}
	if c.MaximumAppendBytes == 0 {
		c.MaximumAppendBytes = DefaultMaximumAppendBytes
	}
	if c.MaximumInFlightEntries == 0 {
		c.MaximumInFlightEntries = DefaultMaximumInFlightEntries
	}
	if c.MaximumInFlightBytes == 0 {
		c.MaximumInFlightBytes = DefaultMaximumInFlightBytes
	}
	if c.MaximumUncommittedBytes == 0 {
		c.MaximumUncommittedBytes = DefaultMaximumUncommittedBytes
	}
	if c.RetainedEntries == 0 {
		c.RetainedEntries = DefaultRetainedEntries
	}
	if c.RetainedBytes == 0 {
		c.RetainedBytes = DefaultRetainedBytes
	}
	return c
}

// validate returns an error for the first invalid setting.
func (c Config) validate() error {
	switch {
	case c.Fleet == "":
		return trace.BadParameter("consensus: fleet is empty; set the fleet's name")
	case c.Name == "":
		return trace.BadParameter("consensus: name is empty; set a name unique in the fleet")
	case c.Address == "":
		return trace.BadParameter("consensus: address is empty; set the IP:port that peers call")
	case c.ClockDrift < 0 || c.ClockDrift >= 0.5:
		return trace.BadParameter("consensus: clock drift %v is outside [0, 0.5)", c.ClockDrift)
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < 4*c.HeartbeatInterval:
		return trace.BadParameter("consensus: election timeout %v must be at least four heartbeat intervals of %v",
			c.ElectionTimeout, c.HeartbeatInterval)
	}
	if len(c.Seeds) > 0 && len(c.Peers) > 0 {
		return trace.BadParameter("consensus: both peers and seeds are set; name all controllers as peers, or some as seeds")
	}
	names := make(map[string]bool, len(c.Peers))
	for _, peer := range c.Peers {
		if peer.Name == "" || peer.Address == "" {
			return trace.BadParameter("consensus: peer %q at %q needs both a name and an address", peer.Name, peer.Address)
		}
		if names[peer.Name] {
			return trace.BadParameter("consensus: peer %q is listed twice", peer.Name)
		}
		names[peer.Name] = true
	}
	return nil
}

// leaseDuration returns the length of a leader lease. It starts when a heartbeat round is sent,
// on the leader's clock: once a quorum has acknowledged that round, no other candidate can win
// an election before the lease ends.
func (c Config) leaseDuration() time.Duration {
	share := leaseShare * (1 - c.ClockDrift) / (1 + c.ClockDrift)
	return time.Duration(float64(c.ElectionTimeout) * share)
}
