package serving

import (
	"time"
)

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests answer with events. They run at most once unless the route
	// allows resuming.
	KindStream
)

// String names the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Configuration is the operator's whole configuration. It is replaced as a whole.
type Configuration struct {
	// Number rises with every configuration; the highest holds.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequireKeys tells that callers prove by a key which tenant they are, on all routes that are not open.
	// Without tenants there are no keys, and requests belong to nobody.
	RequireKeys bool
	Tenants     []Tenant
}

// Route says where the requests of one host and path prefix go and what holds for them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Target is the time to an answer, or to a stream's first event, that is in time.
	Target time.Duration
	// TargetGap is the longest pause between events that is in time; 0 says nothing.
	TargetGap time.Duration
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	// Splits are the services that share the requests, by weight.
	Splits []Split
	// MaxAttempts is the most back ends that one request may be sent to; at least 1.
	MaxAttempts int
	// Resumable streams may be taken up at another back end.
	Resumable bool
	// Sticky requests name the parts of their prompts, which back ends cache.
	Sticky bool
	// Open routes admit requests without a key.
	Open bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Split is one service's part of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of back ends that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one back end accepts from all relays together.
	MaxConnections int
	// Engine is nil where the back ends are not model engines.
	Engine *Engine
	// Scaling is nil where the number of back ends is not ours to order.
	Scaling *Scaling
}

// Scaling bounds how many back ends of a service may be ordered, and tells what they cost.
type Scaling struct {
	// Min and Max bound the back ends in each zone.
	Min, Max int
	// BootTime is how long a new back end takes until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a back end that the platform may take away, as a part of that of
	// one that stays; 0 where there are none.
	SpotPrice float64
	// ZonePrices are the prices of a back end for a time, by zone.
	ZonePrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once at one engine.
	Slots int
	// CacheTokens is an engine's memory, TokenBytes the size of one token in it.
	CacheTokens int
	TokenBytes  int
	// Stride is how many tokens one event of a stream holds; 0 when not told.
	Stride int
	// LinkBytesPerSecond is what an engine's link to others carries in a second; 0 when not told.
	LinkBytesPerSecond float64
	// HandleLifetime is how long a prompt that was read is kept for a decoding engine.
	HandleLifetime time.Duration
	// RoleChangeTime is how long an engine is away when its role changes.
	RoleChangeTime time.Duration
	// Movable runs can be moved to another engine while they generate.
	Movable bool
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
