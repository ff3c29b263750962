package routing

import (
	"time"

	"github.com/gravitational/trace"
)

// Defaults of Config.
const (
	// ConfirmationLimit is the age at which a back end's confirmation expires and it gets no new requests. It
	// bounds the time for which a leaving back end still gets requests.
	ConfirmationLimit = 4 * time.Second

	// neverConfirmed is older than any limit.
	neverConfirmed = -time.Duration(1 << 62)

	defaultSubsetSize       = 32
	defaultSampleSize       = 3
	defaultPrefixIndexSize  = 16384
	defaultCooldown         = 500 * time.Millisecond
	defaultMaxCooldown      = 8 * time.Second
	defaultOtherZoneLatency = 2 * time.Millisecond
	defaultKVTransferCost   = 10 * time.Millisecond
)

// Config holds the fixed parameters of a Router.
type Config struct {
	// Zone of the gateway. Required.
	Zone string
	// ZoneLatency is the one-way latency to other zones. For a zone that is missing, OtherZoneLatency (default
	// 2 ms) is used, for the local zone 0.
	ZoneLatency      map[string]time.Duration
	OtherZoneLatency time.Duration
	// Seed of the picker's random source. Gateways need different seeds.
	Seed uint64
	// SubsetSize bounds the back ends considered per decision and stage; default 32.
	SubsetSize int
	// SampleSize is the number of candidates the picker compares; default 3.
	SampleSize int
	// PrefixIndexSize bounds the number of prefix blocks in the prefix index; default 16384.
	PrefixIndexSize int
	// Cooldown is how long a back end is avoided after a failure. It doubles with each further failure up to
	// MaxCooldown. The defaults are 500 ms and 8 s.
	Cooldown    time.Duration
	MaxCooldown time.Duration
	// KVTransferCost is the fixed cost of a KV transfer between engines; default 10 ms.
	KVTransferCost time.Duration
	// TokenTimes is the assumed speed of engines.
	TokenTimes TokenTimes
	// OnRestart is called with the previous incarnation of a back end once a later one is known; may be nil. It
	// must not call the Router.
	OnRestart func(previous BackEnd)
	// Filters, Scorers and Picker replace the standard pipeline if set.
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

func (c *Config) checkAndSetDefaults() error {
	if c.Zone == "" {
		return trace.BadParameter("routing: Config.Zone is empty; set the zone of the gateway")
	}
	if c.SubsetSize < 0 || c.SampleSize < 0 || c.PrefixIndexSize < 0 {
		return trace.BadParameter("routing: SubsetSize, SampleSize and PrefixIndexSize must not be negative")
	}
	setDefault(&c.OtherZoneLatency, defaultOtherZoneLatency)
	setDefault(&c.SubsetSize, defaultSubsetSize)
	setDefault(&c.SampleSize, defaultSampleSize)
	setDefault(&c.PrefixIndexSize, defaultPrefixIndexSize)
	setDefault(&c.Cooldown, defaultCooldown)
	setDefault(&c.MaxCooldown, defaultMaxCooldown)
	setDefault(&c.KVTransferCost, defaultKVTransferCost)
	c.TokenTimes.setDefaults()
	return nil
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
