package engine

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// Default lags of an engine's reports.
const (
	DefaultLoadLag       = 500 * time.Millisecond
	DefaultCacheEventLag = 300 * time.Millisecond
)

// Durations that the engine contract specifies.
const (
	ResumeWindow      = 5 * time.Second
	FinishedRetention = 10 * time.Second
	KVHandleLifetime  = 30 * time.Second
)

// ListenFunc opens a listener. A fleet passes one that delays each connection by the latency configured to the
// caller's zone.
type ListenFunc func(network, address string) (net.Listener, error)

// Config configures one engine.
type Config struct {
	Name    string
	Service string
	Zone    string
	// Address is the IP:port to listen on; port 0 selects a free port.
	Address string
	Role    enginecontract.Role
	Model   string
	Version string
	// Adapters are loaded at the engine's first start.
	Adapters []string
	Profile  enginemodel.Profile
	// WeightStore is the IP:port from which load-model orders fetch weights; empty for none.
	WeightStore   string
	LoadLag       time.Duration
	CacheEventLag time.Duration
	Faults        []fault.Fault
	Safeguards    safeguard.Set
	// Dial opens connections to other engines; it defaults to TCP from the engine's IP.
	Dial fasthttp.DialFunc
	// Listen defaults to net.Listen.
	Listen ListenFunc
}

func (c Config) withDefaults() (Config, error) {
	if c.Name == "" || c.Address == "" || c.Model == "" {
		return c, trace.BadParameter("engine %q needs name, address and model", c.Name)
	}
	if c.Profile.Name == "" {
		c.Profile = enginemodel.DefaultProfile()
	}
	if c.Role == "" {
		c.Role = enginecontract.RoleMixed
	}
	if c.LoadLag == 0 {
		c.LoadLag = DefaultLoadLag
	}
	if c.CacheEventLag == 0 {
		c.CacheEventLag = DefaultCacheEventLag
	}
	if c.Dial == nil {
		c.Dial = dialFrom(c.Address)
	}
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	return c, nil
}
