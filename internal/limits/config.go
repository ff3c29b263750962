package limits

import (
	"time"

	"github.com/gravitational/trace"
)

const (
	defaultTenants        = 4096
	defaultBurst          = time.Second
	defaultInitialDivisor = 128
	defaultLeasePeriod    = 3 * time.Second
	defaultDemands        = 256
	defaultWaiters        = 1024
	defaultTenantWaiters  = 256
	defaultLongestWait    = 2 * time.Second
	defaultTokenWait      = time.Second
)

// Config holds the parameters of a Core. They are fixed once the Core is created.
type Config struct {
	// Tenants limits the tenants with an account; default 4096.
	Tenants int
	// Burst is the time over which a tenant may accumulate unused tokens of its share; default 1 s.
	Burst time.Duration
	// InitialDivisor sets the initial share of a new tenant: its limit divided by this value;
	// default 128.
	InitialDivisor int
	// LeasePeriod is the lease period of the initial share; default 3 s.
	LeasePeriod time.Duration
	// Demands limits the tenants in one report; default 256.
	Demands int
	// Waiters limits the requests that wait for a share; default 1024. TenantWaiters
	// limits those of one tenant; default 256.
	Waiters       int
	TenantWaiters int
	// LongestWait limits the wait for a larger share; default 2 s. LongestTokenWait
	// limits the wait for tokens of a share that will not grow; default 1 s.
	LongestWait      time.Duration
	LongestTokenWait time.Duration
}

func (c *Config) checkAndSetDefaults() error {
	negative := c.Tenants < 0 || c.Burst < 0 || c.InitialDivisor < 0 || c.LeasePeriod < 0 || c.Demands < 0 ||
		c.Waiters < 0 || c.TenantWaiters < 0 || c.LongestWait < 0 || c.LongestTokenWait < 0
	if negative {
		return trace.BadParameter("limits: Config fields must not be negative: %+v", *c)
	}
	setDefault(&c.Tenants, defaultTenants)
	setDefault(&c.Burst, defaultBurst)
	setDefault(&c.InitialDivisor, defaultInitialDivisor)
	setDefault(&c.LeasePeriod, defaultLeasePeriod)
	setDefault(&c.Demands, defaultDemands)
	setDefault(&c.Waiters, defaultWaiters)
	setDefault(&c.TenantWaiters, defaultTenantWaiters)
	setDefault(&c.LongestWait, defaultLongestWait)
	setDefault(&c.LongestTokenWait, defaultTokenWait)
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
