package membership

import "time"

// Defaults of Config.
const (
	DefaultPollInterval  = time.Second
	DefaultFreshness     = 2500 * time.Millisecond
	DefaultGoneAfter     = 10 * time.Second
	DefaultGatewayLost   = 10 * time.Second
	DefaultListReset     = 30 * time.Second
	DefaultDirectoryLife = 100 * time.Millisecond
	// DefaultPerService bounds the back ends of one service in a directory.
	DefaultPerService = 24
	// DefaultPerRole is the number of back ends of each role that a directory holds
	// at least, when there are as many.
	DefaultPerRole = 4
)

// MaximumGateways bounds the gateways that are remembered; the one heard of longest
// ago is forgotten first.
const MaximumGateways = 2000

// Config configures a Tracker. Zero values mean the defaults.
type Config struct {
	PollInterval time.Duration
	// Freshness is the greatest age of a reading that confirms a back end.
	Freshness time.Duration
	// GoneAfter is how long a back end that is neither listed nor answering is kept.
	GoneAfter time.Duration
	// GatewayLost is the silence after which a gateway counts as gone.
	GatewayLost time.Duration
	// ListReset is how long lists with a lower version are taken for late copies.
	ListReset time.Duration
	// DirectoryLife is how long a zone's directory is used again.
	DirectoryLife time.Duration
	PerService    int
	PerRole       int
}

func (c Config) withDefaults() Config {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.Freshness, DefaultFreshness)
	setDefault(&c.GoneAfter, DefaultGoneAfter)
	setDefault(&c.GatewayLost, DefaultGatewayLost)
	setDefault(&c.ListReset, DefaultListReset)
	setDefault(&c.DirectoryLife, DefaultDirectoryLife)
	setDefault(&c.PerService, DefaultPerService)
	setDefault(&c.PerRole, DefaultPerRole)
	return c
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
