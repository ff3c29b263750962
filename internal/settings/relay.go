package settings

import (
	"net"
	"strconv"
	"time"
)

// Relay holds the settings of `hazelpitch relay`.
type Relay struct {
	Name string `yaml:"name" check:"required"`
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for clients. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// ReadyListen is the IP:port that reports whether the relay wants new connections. Required.
	ReadyListen string `yaml:"ready_listen" check:"required,address"`
	// Controllers are the IP:port at which operators reach some controllers; the relay discovers the
	// others. Required.
	Controllers []string `yaml:"controllers" check:"required,address"`
	// ControllerPort is the port at which controllers listen for relays. Required.
	ControllerPort int `yaml:"controller_port" check:"required,positive"`
	// ListingAddress is the IP:port of the external list of back ends. Required.
	ListingAddress string `yaml:"listing_address" check:"required,address"`
	// NoticeListen is the IP:port for load notices from other relays (UDP) and for the requests that they forward (TCP).
	// No other process of the machine may listen there. Required.
	NoticeListen string `yaml:"notice_listen" check:"required,address"`
	// AdminListen is the IP:port for health, metrics and the log ring; empty disables it.
	AdminListen string `yaml:"admin_listen" check:"address"`
	// GracePeriod is the longest time that a relay may take to stop; default 8s.
	GracePeriod time.Duration `yaml:"grace" default:"8s" check:"positive"`
	RetryBudget RetryBudget   `yaml:"retry_budget"`
	// Contracts are the names of the platform's contracts that apply to the deployment. The platform's adapter derives
	// from them which optional features the relay uses.
	Contracts []string `yaml:"contracts"`
	// MemoryLimit is the memory in MiB that the process must not exceed; 0 means no limit.
	MemoryLimit int `yaml:"memory_limit" check:"not-negative"`
	// DisabledMechanisms names mechanisms that are turned off to measure their effect;
	// empty in production.
	DisabledMechanisms []string `yaml:"without"`
	Log                Log      `yaml:"log"`
}

// RetryBudget bounds the retries, over all relays.
type RetryBudget struct {
	// Within each window, at most Ratio times the number of the window's requests, plus Slack, may be sent again.
	Ratio  float64       `yaml:"ratio" default:"0.2" check:"not-negative"`
	Window time.Duration `yaml:"window" default:"10s" check:"positive"`
	Slack  float64       `yaml:"slack" default:"50" check:"not-negative"`
}

// ControllerAddresses returns the IP:port at which relays reach the configured controllers.
func (r Relay) ControllerAddresses() []string {
	return withPort(r.Controllers, strconv.Itoa(r.ControllerPort))
}

// withPort returns the addresses with their port replaced.
func withPort(addresses []string, port string) []string {
	replaced := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			replaced = append(replaced, net.JoinHostPort(host, port))
		}
	}
	return replaced
}
