package operatorclient

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// Timeouts and intervals of attempts; the Config may override DefaultTimeout.
const (
	DefaultTimeout       = 30 * time.Second
	attemptTimeout       = 5 * time.Second
	initialRetryInterval = 100 * time.Millisecond
	maximumRetryInterval = 400 * time.Millisecond
)

// Config selects the controllers to call and the operator's credentials.
type Config struct {
	// Controllers are the IP:port of the controllers, in order of preference. At least one is required.
	Controllers []string
	// Key is the operator's bearer key.
	Key string
	// Credentials is nil for connections without TLS.
	Credentials *keys.Credentials
	// Fleet is the name of the fleet that the controllers must belong to; required with TLS, else unused.
	Fleet string
	// Timeout bounds a call including all its attempts; 0 means DefaultTimeout.
	Timeout time.Duration
}

func (c Config) check() error {
	if len(c.Controllers) == 0 {
		return trace.BadParameter("no controller is named: give --controller IP:port, or HAZELCTL_CONTROLLER")
	}
	for _, controller := range c.Controllers {
		address, err := netip.ParseAddrPort(controller)
		if err != nil || address.Port() == 0 {
			return trace.BadParameter("controller %q is not an address: give IP:port such as 10.0.0.7:7400", controller)
		}
	}
	if c.Key == "" {
		return trace.BadParameter("no operator key is given: give --key-file FILE, or HAZELCTL_KEY_FILE")
	}
	if c.Credentials != nil && c.Fleet == "" {
		return trace.BadParameter("with TLS the fleet's name is needed")
	}
	return nil
}
