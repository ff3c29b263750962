package settings

import (
	"net"
	"time"
)

// SiteController holds the settings of `hazelpitch site-controller`: a controller that initially
// knows only some of its peers, and that serves relays.
type SiteController struct {
	Name string `yaml:"name" check:"required"`
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for controllers and relays. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// OperatorListen is the IP:port for configuration documents from operators. Required.
	OperatorListen string `yaml:"operator_listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// SourceAddress is the source IP of outgoing connections; default: any.
	SourceAddress string `yaml:"source_address" check:"ip"`
	// DataDirectory holds the log, snapshots and the identity of the disk. Required.
	DataDirectory string `yaml:"data_directory" check:"required"`
	// Seeds are the IP:port at which operators reach some controllers; peers are reached at
	// the same IPs, on the port of listen. Required.
	Seeds []string `yaml:"seeds" check:"required,address"`
	// Bootstrap means that the fleet starts for the first time, with empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// ToleratedFailures is the number of controllers that may fail at once; default 1.
	ToleratedFailures int `yaml:"losses_borne" default:"1" check:"not-negative"`
	// ListingAddress is the IP:port of the external list of back ends. Required.
	ListingAddress string `yaml:"listing_address" check:"required,address"`
	// ListingInterval is the time between two reads of the list of back ends by the leader; default 500ms.
	ListingInterval time.Duration `yaml:"listing_interval" default:"500ms" check:"positive"`
	// PrefillShare is the fraction of the engines in the prefill role until their load is known;
	// 0 leaves the engines' roles unchanged; default 0.67.
	PrefillShare float64 `yaml:"prefill_share" default:"0.67" check:"not-negative"`
	// OrderWait is how long a new leader waits before its first order to an engine, so that
	// the orders of its predecessor have ended; default 3s.
	OrderWait time.Duration `yaml:"order_wait" default:"3s" check:"not-negative"`
	// Duties names the duties, which are platform calls that only one controller may make at a time; none by default.
	Duties []string `yaml:"duties"`
	// OnDemandShare is the fraction of a service's replicas that are always on demand; the others are replaced by
	// cheaper spot replicas, which the platform may reclaim, where it offers them; default 1, which takes no such risk.
	OnDemandShare float64 `yaml:"on_demand_share" default:"1" check:"not-negative"`
	// DutyRate is the platform's limit of duty calls per second; default 10.
	DutyRate float64 `yaml:"duty_rate" default:"10" check:"positive"`
	// UsageWindow is the length of the windows in which the usage of tenants is counted, UsageDeadline the time
	// after the end of a window by which it must be reported; default 5s and 10s.
	UsageWindow       time.Duration `yaml:"usage_window" default:"5s" check:"positive"`
	UsageDeadline     time.Duration `yaml:"usage_due" default:"10s" check:"positive"`
	ElectionTimeout   time.Duration `yaml:"election_timeout" default:"400ms" check:"positive"`
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" default:"80ms" check:"positive"`
	// MemoryLimit is the memory in MiB that the process must not exceed; 0 means no limit.
	MemoryLimit int `yaml:"memory_limit" check:"not-negative"`
	// DisabledMechanisms names mechanisms that are turned off to measure their effect;
	// empty in production.
	DisabledMechanisms []string `yaml:"without"`
	Log                Log      `yaml:"log"`
}

// PeerSeeds returns the IP:port at which the seed controllers listen for peers.
func (s SiteController) PeerSeeds() []string {
	_, port, _ := net.SplitHostPort(s.Listen) // checked when the file was read
	return withPort(s.Seeds, port)
}

// FormationSize returns the smallest number of controllers of which a majority remains when ToleratedFailures of them fail.
func (s SiteController) FormationSize() int { return 2*s.ToleratedFailures + 1 }

// Controller returns the settings that a site controller has in common with `hazelpitch controller`.
func (s SiteController) Controller(fleet string) Controller {
	return Controller{
		Name: s.Name, Fleet: fleet, Zone: s.Zone, Listen: s.Listen, AdminListen: s.AdminListen, SourceAddress: s.SourceAddress,
		DataDirectory: s.DataDirectory, ElectionTimeout: s.ElectionTimeout, HeartbeatInterval: s.HeartbeatInterval, Log: s.Log,
	}
}
