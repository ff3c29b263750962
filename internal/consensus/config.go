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
	DefaultMaximumUncommittedBytes = 16 << 20
	DefaultRetainedEntries         = 4096
)

// leaseShare is the part of the election timeout that a leader lease lasts before
// clock drift is taken off.
const leaseShare = 0.8

// Peer is one controller of the initial quorum, as the settings name it.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// Config configures a Core. Zero values of the tuning fields mean the defaults.
type Config struct {
	// Fleet, Name and Address are required; Name is unique in the fleet.
	Fleet   string
	Name    string
	Address string
	Zone    string
	// Peers are the initial voters, this controller among them, or, for a controller
	// that joins later, the controllers to ask for admission.
	Peers []Peer
	// Seeds, when not empty, take the place of Peers: addresses of some controllers, which
	// need not be all and may be down. Every controller then becomes a voter; see
	// formation_seeds.go.
	Seeds []string
	// Bootstrap says that the fleet starts for the first time, on empty disks. Only then
	// may the first seed form the quorum.
	Bootstrap bool
	// FormationSize is how many controllers at least must have reported before the first
	// seed forms the quorum.
	FormationSize int
	// ElectionTimeout is the shortest silence after which a follower campaigns.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ClockDrift bounds how far the rate of any two controllers' clocks is off real
	// time, as a share of it.
	ClockDrift float64
	// MaximumAppendBytes bounds the entries of one message.
	MaximumAppendBytes int
	// MaximumInFlightEntries bounds the entries sent to one member and not answered.
	MaximumInFlightEntries uint64
	// MaximumUncommittedBytes bounds the proposals that wait for their commit.
	MaximumUncommittedBytes int
	// RetainedEntries is how many entries before a snapshot stay in memory for
	// members that lag a little.
	RetainedEntries uint64
	// Seed seeds the random part of election timeouts.
	Seed       uint64
	Safeguards safeguard.Set
}

// Restored is what a controller's disk held when the process started.
type Restored struct {
	// DiskID is the identity of the disk, made when the disk was first used. Required.
	DiskID    string
	HardState *v1.HardState
	Snapshot  *v1.Snapshot
	// Entries follow the snapshot without a hole.
	Entries []*v1.Entry
}

// withDefaults fills in the defaults.
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
	if c.MaximumUncommittedBytes == 0 {
		c.MaximumUncommittedBytes = DefaultMaximumUncommittedBytes
	}
	if c.RetainedEntries == 0 {
		c.RetainedEntries = DefaultRetainedEntries
	}
	return c
}

// check reports the first setting that cannot work.
func (c Config) check() error {
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
	seen := make(map[string]bool, len(c.Peers))
	for _, peer := range c.Peers {
		if peer.Name == "" || peer.Address == "" {
			return trace.BadParameter("consensus: peer %q at %q needs both a name and an address", peer.Name, peer.Address)
		}
		if seen[peer.Name] {
			return trace.BadParameter("consensus: peer %q is listed twice", peer.Name)
		}
		seen[peer.Name] = true
	}
	return nil
}

// leaseDuration is how long after the sending of a heartbeat round, on the leader's
// clock, a quorum's answers to it keep every other candidate from winning.
func (c Config) leaseDuration() time.Duration {
	share := leaseShare * (1 - c.ClockDrift) / (1 + c.ClockDrift)
	return time.Duration(float64(c.ElectionTimeout) * share)
}
