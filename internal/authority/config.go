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

// Config configures a Commander. Zero values select the defaults.
type Config struct {
	// Leader is the name of this controller, as recorded in the log.
	Leader string
	// ResendInterval is the time after which an unanswered order or fence is sent again.
	ResendInterval time.Duration
	// ProposalTimeout is the time after which a proposal that has had no effect is repeated.
	ProposalTimeout time.Duration
	// MaximumStateAge is the maximum age of an engine's reported state on which a new order may be
	// based.
	MaximumStateAge time.Duration
	// LostAfter is the time without answers of an engine after which the engine's order ends as lost.
	LostAfter time.Duration
	// DrainTimeout is how long an engine may drain before it aborts the order.
	DrainTimeout time.Duration
	// MaximumLoads limits the orders that load weights from the store at once. The loads share the
	// store's bandwidth, so the limit also sets the minimum bandwidth of each load.
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
	// SafeguardFence raises the fence on an engine before the engine receives orders, and compares
	// the engine's state with the log.
	SafeguardFence safeguard.Safeguard = "authority fence"
	// SafeguardCommitBeforeSend sends an order only after it is committed.
	SafeguardCommitBeforeSend safeguard.Safeguard = "commit before send"
	// SafeguardOutOfServiceBound limits the engines that are out of service at once.
	SafeguardOutOfServiceBound safeguard.Safeguard = "engines out bound"
)
