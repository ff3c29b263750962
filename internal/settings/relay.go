package settings

import (
	"net"
	"strconv"
	"time"
)

// Relay is the settings file of `hazelpitch relay`.
type Relay struct {
	Name string `yaml:"name" check:"required"`
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for clients. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// ReadyListen is the IP:port that tells whether new connections are wanted. Required.
	ReadyListen string `yaml:"ready_listen" check:"required,address"`
	// Controllers are the IP:port at which operators reach some controllers; the others are
	// learnt. Required.
	Controllers []string `yaml:"controllers" check:"required,address"`
	// ControllerPort is the port at which controllers listen for relays. Required.
	ControllerPort int `yaml:"controller_port" check:"required,positive"`
	// ListingAddress is the IP:port of the outside list of back ends. Required.
	ListingAddress string `yaml:"listing_address" check:"required,address"`
	// NoticeListen is the IP:port for load notices of other relays (UDP). Required.
	NoticeListen string `yaml:"notice_listen" check:"required,address"`
	// AdminListen is the IP:port for health, metrics and the log ring; empty for nowhere.
	AdminListen string `yaml:"admin_listen" check:"address"`
	// GracePeriod is how long a stopping relay may take; default 8s.
	GracePeriod time.Duration `yaml:"grace" default:"8s" check:"positive"`
	RetryBudget RetryBudget   `yaml:"retry_budget"`
	// MemoryLimit is the size in MiB that the process must stay under; 0 for no limit.
	MemoryLimit int `yaml:"memory_limit" check:"not-negative"`
	// DisabledMechanisms names mechanisms that are left out, to measure what they are worth (docs/ABLATION.md);
	// none for users.
	DisabledMechanisms []string `yaml:"without"`
	Log                Log      `yaml:"log"`
}

// RetryBudget bounds the sendings beyond the first of each request, over all relays.
type RetryBudget struct {
	// Ratio of the requests of a window, plus Slack, may be sent again within it.
	Ratio  float64       `yaml:"ratio" default:"0.2" check:"not-negative"`
	Window time.Duration `yaml:"window" default:"10s" check:"positive"`
	Slack  float64       `yaml:"slack" default:"50" check:"not-negative"`
}

// ControllerAddresses are the IP:port at which relays reach the controllers named.
func (r Relay) ControllerAddresses() []string {
	return onPort(r.Controllers, strconv.Itoa(r.ControllerPort))
}

// onPort returns the addresses with another port.
func onPort(addresses []string, port string) []string {
	changed := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			changed = append(changed, net.JoinHostPort(host, port))
		}
	}
	return changed
}
