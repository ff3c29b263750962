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
	// DefaultMaximumPerService bounds the back ends of one service in a directory.
	DefaultMaximumPerService = 24
	// DefaultMinimumPerRole is the number of back ends of each role that a directory holds
	// at least, when there are as many.
	DefaultMinimumPerRole = 4
)

// MaximumGateways bounds the gateways that are remembered; the one heard of longest
// ago is forgotten first.
const MaximumGateways = 2000

// Config configures a Tracker. Zero values mean the defaults.
type Config struct {
	PollInterval time.Duration
	// MaximumStateAge is the greatest age of a reading that confirms a back end.
	MaximumStateAge time.Duration
	// RemoveAfter is how long a back end that is neither listed nor answering is kept.
	RemoveAfter time.Duration
	// GatewayTimeout is the silence after which a gateway counts as gone.
	GatewayTimeout time.Duration
	// ListResetAfter is how long lists with a lower version are taken for late copies.
	ListResetAfter time.Duration
	// DirectoryCacheTime is how long a zone's directory is used again.
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
