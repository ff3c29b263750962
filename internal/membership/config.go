package membership

import "time"

// Defaults of Config.
const (
	DefaultPollInterval       = time.Second
	DefaultMaximumStateAge    = 2500 * time.Millisecond
	DefaultRemoveAfter        = 10 * time.Second
	DefaultGatewayTimeout     = 10 * time.Second
	DefaultListResetAfter     = 30 * time.Second
	DefaultDirectoryCacheTime = 100 * time.Millisecond
	// DefaultMaximumPerService limits the back ends of one service in a directory.
	DefaultMaximumPerService = 24
	// DefaultMinimumPerRole is the minimum number of back ends of each role in a directory, if that
	// many exist.
	DefaultMinimumPerRole = 4
)

// MaximumGateways limits the gateways that are tracked. When it is reached, the gateway with the oldest
// heartbeat is removed.
const MaximumGateways = 2000

// Config configures a Tracker. Zero values select the defaults.
type Config struct {
	PollInterval time.Duration
	// MaximumStateAge is the maximum age of a reading that confirms that a back end may receive work.
	MaximumStateAge time.Duration
	// RemoveAfter is how long a back end that is neither listed nor answering stays in the tracker.
	RemoveAfter time.Duration
	// GatewayTimeout is the time without a heartbeat after which a gateway counts as gone.
	GatewayTimeout time.Duration
	// ListResetAfter is how long after the last accepted list a list with a lower version is ignored as a late copy.
	ListResetAfter time.Duration
	// DirectoryCacheTime is how long a zone's directory is reused.
	DirectoryCacheTime time.Duration
	MaximumPerService  int
	MinimumPerRole     int
}

func (c Config) withDefaults() Config {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.MaximumStateAge, DefaultMaximumStateAge)
	setDefault(&c.RemoveAfter, DefaultRemoveAfter)
	setDefault(&c.GatewayTimeout, DefaultGatewayTimeout)
	setDefault(&c.ListResetAfter, DefaultListResetAfter)
	setDefault(&c.DirectoryCacheTime, DefaultDirectoryCacheTime)
	setDefault(&c.MaximumPerService, DefaultMaximumPerService)
	setDefault(&c.MinimumPerRole, DefaultMinimumPerRole)
	return c
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
