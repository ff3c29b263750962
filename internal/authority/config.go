package authority

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Defaults of Config.
const (
	DefaultResendInterval  = 500 * time.Millisecond
	DefaultProposalTimeout = 3 * time.Second
	DefaultMaximumStateAge = 5 * time.Second
	DefaultLostAfter       = 15 * time.Second
	DefaultDrainTimeout    = 60 * time.Second
	DefaultMaximumLoads    = 2
)

// Config configures a Commander. Zero values mean the defaults.
type Config struct {
	// Leader is the name of this controller, for the log.
	Leader string
	// ResendInterval is the time between two copies of one order or fence.
	ResendInterval time.Duration
	// ProposalTimeout is the time after which a proposal that has shown no effect
	// is made again.
	ProposalTimeout time.Duration
	// MaximumStateAge is the greatest age of an engine's own word by which a new order
	// may be decided.
	MaximumStateAge time.Duration
	// LostAfter is the silence after which an engine's order is given up.
	LostAfter time.Duration
	// DrainTimeout is how long an engine may drain before it aborts the order.
	DrainTimeout time.Duration
	// MaximumLoads bounds the orders that draw weights from the store at once; with
	// the store's rate shared by so many, each load keeps its share of the rate.
	MaximumLoads int
	Safeguards   safeguard.Set
}

func (c Config) withDefaults() Config {
	setDefault(&c.ResendInterval, DefaultResendInterval)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
	setDefault(&c.MaximumStateAge, DefaultMaximumStateAge)
	setDefault(&c.LostAfter, DefaultLostAfter)
	setDefault(&c.DrainTimeout, DefaultDrainTimeout)
	setDefault(&c.MaximumLoads, DefaultMaximumLoads)
	return c
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Safeguards of the authority over engines.
const (
	// SafeguardFence raises the fence on an engine before it is ordered, and
	// reconciles the engine with the log.
	SafeguardFence safeguard.Safeguard = "authority fence"
	// SafeguardCommitBeforeSend sends an order only once it is committed.
	SafeguardCommitBeforeSend safeguard.Safeguard = "commit before send"
	// SafeguardOutOfServiceBound bounds the engines that are out at once.
	SafeguardOutOfServiceBound safeguard.Safeguard = "engines out bound"
)
