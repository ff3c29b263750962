package serving

import (
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered with events. They run at most once unless the route is resumable.
	KindStream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Configuration is the operator's complete configuration. It is always replaced as a whole.
type Configuration struct {
	// Number increases with every configuration; the one with the highest number applies.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequireKeys makes callers authenticate as a tenant by a key, except on open routes. Without tenants there
	// are no keys, and requests belong to no tenant.
	RequireKeys bool
	Tenants     []Tenant
}

// Route defines where the requests of one host and path prefix go and under which rules.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for a request.
	Timeout time.Duration
	// Target is the target for the time to an answer, or to the first event of a stream.
	Target time.Duration
	// TargetGap is the target for the longest pause between events; 0 means none.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 goes first.
	Priority int
	// Splits are the services that share the requests, by weight.
	Splits []Split
	// MaxAttempts is the largest number of back ends to which one request may be sent; at least 1.
	MaxAttempts int
	// Resumable streams may be resumed at another back end.
	Resumable bool
	// Sticky requests declare the prefix blocks of their prompts, which back ends cache.
	Sticky bool
	// Open routes admit requests without a key.
	Open bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Split is a service's share of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of equivalent back ends.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one back end accepts from all relays together.
	MaxConnections int
	// Engine is nil if the back ends are not model engines.
	Engine *Engine
	// Scaling is nil if the controllers do not order the number of back ends.
	Scaling *Scaling
}

// Scaling bounds how many back ends of a service may be ordered and holds their prices.
type Scaling struct {
	// Min and Max bound the back ends in each zone.
	Min, Max int
	// BootTime is how long a new back end takes until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot back end, which the platform may take away, relative to a permanent one;
	// 0 if there are none.
	SpotPrice float64
	// ZonePrices are the prices of a back end per unit of time, by zone.
	ZonePrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's KV cache in tokens, TokenBytes the size of one token in it.
	CacheTokens int
	TokenBytes  int
	// Stride is the number of tokens per stream event; 0 if unknown.
	Stride int
	// LinkBytesPerSecond is the bandwidth of an engine's link to other engines; 0 if unknown.
	LinkBytesPerSecond float64
	// HandleLifetime is how long a prefilled prompt is held for a decode engine.
	HandleLifetime time.Duration
	// RoleChangeTime is how long an engine is unavailable during a role change.
	RoleChangeTime time.Duration
	// Movable runs can migrate to another engine while they generate.
	Movable bool
}

// Limits bound the size of a client's request and the time it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
