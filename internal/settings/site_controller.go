package settings

import (
	"net"
	"time"
)

// SiteController is the settings file of `hazelpitch site-controller`: a controller whose
// peers are only known in part, and which serves relays.
type SiteController struct {
	Name string `yaml:"name" check:"required"`
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for controllers and relays. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// OperatorListen is the IP:port for operators' configuration documents. Required.
	OperatorListen string `yaml:"operator_listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// DataDirectory holds the log, snapshots and the disk's identity. Required.
	DataDirectory string `yaml:"data_directory" check:"required"`
	// Seeds are the IP:port at which operators reach some controllers; peers are reached at
	// the same IPs, on the port of listen. Required.
	Seeds []string `yaml:"seeds" check:"required,address"`
	// Bootstrap tells that the fleet starts for the first time, on empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// ToleratedFailures is how many controllers may be lost at once; default 1.
	ToleratedFailures int `yaml:"losses_borne" default:"1" check:"not-negative"`
	// ListingAddress is the IP:port of the outside list of back ends. Required.
	ListingAddress string `yaml:"listing_address" check:"required,address"`
	// ListingInterval is the time between the leader's readings of it; default 500ms.
	ListingInterval time.Duration `yaml:"listing_interval" default:"500ms" check:"positive"`
	// PrefillShare is the part of the engines that read prompts until their work is known;
	// 0 leaves the engines' roles alone; default 0.67.
	PrefillShare float64 `yaml:"prefill_share" default:"0.67" check:"not-negative"`
	// OrderWait is how long a new leader waits before its first order to an engine, so that
	// its predecessor's have ended; default 3s.
	OrderWait time.Duration `yaml:"order_wait" default:"3s" check:"not-negative"`
	// Duties names the calls to the platform that one holder makes at a time; none by default.
	Duties []string `yaml:"duties"`
	// OnDemandShare is the part of a service's replicas that always stays; the others give way to cheap
	// ones that the platform may take away, where it has them; default 1, which takes no risk.
	OnDemandShare float64 `yaml:"on_demand_share" default:"1" check:"not-negative"`
	// DutyRate is how many such calls a second the platform takes; default 10.
	DutyRate float64 `yaml:"duty_rate" default:"10" check:"positive"`
	// UsageWindow is the length of the windows in which tenants' usage is counted, UsageDue how long
	// after its end a window has to be told; default 5s and 10s.
	UsageWindow       time.Duration `yaml:"usage_window" default:"5s" check:"positive"`
	UsageDeadline     time.Duration `yaml:"usage_due" default:"10s" check:"positive"`
	ElectionTimeout   time.Duration `yaml:"election_timeout" default:"400ms" check:"positive"`
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" default:"80ms" check:"positive"`
	// MemoryLimit is the size in MiB that the process must stay under; 0 for no limit.
	MemoryLimit int `yaml:"memory_limit" check:"not-negative"`
	// DisabledMechanisms names mechanisms that are left out, to measure what they are worth (docs/ABLATION.md);
	// none for users.
	DisabledMechanisms []string `yaml:"without"`
	Log                Log      `yaml:"log"`
}

// PeerSeeds are the IP:port at which the controllers named listen for peers.
func (s SiteController) PeerSeeds() []string {
	_, port, _ := net.SplitHostPort(s.Listen) // checked when the file was read
	return onPort(s.Seeds, port)
}

// FormationSize is how many controllers the quorum needs at least to bear the losses.
func (s SiteController) FormationSize() int { return 2*s.ToleratedFailures + 1 }

// Controller returns the settings that it shares with every controller.
func (s SiteController) Controller(fleet string) Controller {
	return Controller{
		Name: s.Name, Fleet: fleet, Zone: s.Zone, Listen: s.Listen, AdminListen: s.AdminListen,
		DataDirectory: s.DataDirectory, ElectionTimeout: s.ElectionTimeout, HeartbeatInterval: s.HeartbeatInterval, Log: s.Log,
	}
}
