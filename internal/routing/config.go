package routing

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of Config.
const (
	// ConfirmationLimit is the age at which a confirmation no longer allows new
	// work. It bounds the time that a leaving back end still gets requests.
	ConfirmationLimit = 4 * time.Second

	// neverConfirmed is older than any limit.
	neverConfirmed = -time.Duration(1 << 62)

	defaultSubsetSize       = 32
	defaultSampleSize       = 3
	defaultPrefixMemory     = 16384
	defaultCooldown         = 500 * time.Millisecond
	defaultMaximumCooldown  = 8 * time.Second
	defaultOtherZoneLatency = 2 * time.Millisecond
	defaultHandOver         = 10 * time.Millisecond
)

// Config holds the fixed parameters of a Router.
type Config struct {
	// Zone of the gateway. Required.
	Zone string
	// ZoneLatency is the one-way latency to other zones; a zone that is missing
	// counts as OtherZoneLatency (default 2 ms), the own zone as 0.
	ZoneLatency      map[string]time.Duration
	OtherZoneLatency time.Duration
	// Seed of the picker's random source. Gateways need different seeds.
	Seed uint64
	// SubsetSize bounds the back ends looked at in one decision and stage; default 32.
	SubsetSize int
	// SampleSize is the number of candidates the picker compares; default 3.
	SampleSize int
	// PrefixIndexSize bounds the number of prefix blocks remembered; default 16384.
	PrefixIndexSize int
	// Cooldown is how long a back end is avoided after a failure; it doubles with
	// each further failure up to MaximumCooldown. Defaults 500 ms and 8 s.
	Cooldown        time.Duration
	MaximumCooldown time.Duration
	// KVTransferCost is the fixed cost of handing a KV cache from engine to engine; default 10 ms.
	KVTransferCost time.Duration
	// TokenTimes is the engines' speed before anything has been measured.
	TokenTimes TokenTimes
	// OnRestart is told of a former incarnation of a back end once a later one is known; nil for nobody. It must not call
	// the Router.
	OnRestart func(former BackEnd)
	// Filters, Scorers and Picker replace the standard pipeline when set.
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

func (c *Config) checkAndSetDefaults() error {
	if c.Zone == "" {
		return trace.BadParameter("routing: Config.Zone is empty; set the zone of the gateway")
	}
	if c.SubsetSize < 0 || c.SampleSize < 0 || c.PrefixIndexSize < 0 {
		return trace.BadParameter("routing: SubsetSize, SampleSize and PrefixMemory must not be negative")
	}
	setDefault(&c.OtherZoneLatency, defaultOtherZoneLatency)
	setDefault(&c.SubsetSize, defaultSubsetSize)
	setDefault(&c.SampleSize, defaultSampleSize)
	setDefault(&c.PrefixIndexSize, defaultPrefixMemory)
	setDefault(&c.Cooldown, defaultCooldown)
	setDefault(&c.MaximumCooldown, defaultMaximumCooldown)
	setDefault(&c.KVTransferCost, defaultHandOver)
	c.TokenTimes.setDefaults()
	return nil
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
