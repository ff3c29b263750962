package shares

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// DefaultLifetime is how long a share holds.
const DefaultLifetime = 4 * time.Second

// MaximumLeases bounds the shares that are remembered over all tenants; a demand
// beyond it gets no share until others run out.
const MaximumLeases = 500_000

// roomDivisor sets the part of a tenant's limit that no one wants which one gateway
// gets: an eighth. The rest stays for gateways that meet the tenant next.
const roomDivisor = 8

// SafeguardSettle makes a new leader wait until its predecessor's shares have run
// out before it grants more than gateways hold.
const SafeguardSettle safeguard.Safeguard = "share settling"

// Limits are what a tenant may use over the whole fleet; 0 is no limit.
type Limits struct {
	TokensPerSecond uint64
	Concurrency     uint32
}

// Divider divides the limits of tenants among gateways.
type Divider struct {
	lifetime   time.Duration
	safeguards safeguard.Set
	settledAt  time.Duration
	tenants    map[string]*tenant
	leases     int
}

// tenant holds the leases of one tenant, by gateway.
type tenant struct{ leases map[string]*lease }

// lease is what one gateway wants and holds.
type lease struct {
	demand v1.ShareDemand
	// heardAt is when the gateway last asked.
	heardAt time.Duration
	// granted are the shares that may still be in use at the gateway, oldest first.
	granted []grant
}

// grant is one share as granted.
type grant struct {
	tokens      uint64
	concurrency uint32
	expiresAt   time.Duration
}

// New returns a Divider of a controller that does not lead. A lifetime of zero means
// the default.
func New(lifetime time.Duration, safeguards safeguard.Set) *Divider {
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &Divider{lifetime: lifetime, safeguards: safeguards, tenants: map[string]*tenant{}}
}

// Lead starts the time of a new leader that knows nothing of shares granted before;
// first tells that no leader has ever granted any.
func (d *Divider) Lead(now time.Duration, first bool) {
	d.tenants = map[string]*tenant{}
	d.leases = 0
	d.settledAt = now
	if !first {
		d.settledAt = now + d.lifetime
	}
}

// Divide takes a gateway's demand for one tenant and returns the share it gets; nil
// when the tenant has no limit.
func (d *Divider) Divide(now time.Duration, gateway string, demand *v1.ShareDemand, limits Limits) *v1.Share {
	if limits == (Limits{}) {
		return nil
	}
	lease := d.lease(now, gateway, demand)
	if lease == nil {
		return &v1.Share{Tenant: demand.Tenant}
	}
	lease.demand.WantedTokensPerSecond = demand.WantedTokensPerSecond
	lease.demand.WantedConcurrency = max(demand.WantedConcurrency, demand.InFlight)
	lease.heardAt = now
	lease.acknowledge(now, demand)
	return d.grant(now, gateway, demand, limits)
}

// lease finds or makes the lease of a gateway; nil when the bound is reached.
func (d *Divider) lease(now time.Duration, gateway string, demand *v1.ShareDemand) *lease {
	owner := d.tenants[demand.Tenant]
	if owner == nil {
		owner = &tenant{leases: map[string]*lease{}}
		d.tenants[demand.Tenant] = owner
	}
	if known := owner.leases[gateway]; known != nil {
		return known
	}
	if d.leases >= MaximumLeases {
		return nil
	}
	d.leases++
	created := &lease{heardAt: now}
	owner.leases[gateway] = created
	return created
}

// acknowledge forgets the grants that the gateway no longer uses: the ones before
// the newest that equals what it says it holds, and those that have run out.
func (l *lease) acknowledge(now time.Duration, demand *v1.ShareDemand) {
	l.granted = slices.DeleteFunc(l.granted, func(g grant) bool { return g.expiresAt <= now })
	for i := len(l.granted) - 1; i > 0; i-- {
		held := l.granted[i]
		if held.tokens == demand.HeldTokensPerSecond && held.concurrency == demand.HeldConcurrency {
			l.granted = slices.Clone(l.granted[i:])
			return
		}
	}
}

// held is the most the gateway may still use.
func (l *lease) held(now time.Duration) (tokens uint64, concurrency uint32) {
	for _, granted := range l.granted {
		if granted.expiresAt > now {
			tokens = max(tokens, granted.tokens)
			concurrency = max(concurrency, granted.concurrency)
		}
	}
	return tokens, concurrency
}

// grant works out and records a new share.
func (d *Divider) grant(now time.Duration, gateway string, demand *v1.ShareDemand, limits Limits) *v1.Share {
	owner := d.tenants[demand.Tenant]
	lease := owner.leases[gateway]
	d.dropSilent(now, owner, gateway)
	fair := owner.fair(gateway, limits)
	othersTokens, othersConcurrency := owner.heldByOthers(now, gateway)
	share := grant{
		tokens: min(fair.TokensPerSecond,
			withRoom(lease.demand.WantedTokensPerSecond, subtract(limits.TokensPerSecond, othersTokens))),
		concurrency: min(fair.Concurrency,
			withRoom(lease.demand.WantedConcurrency, subtract(limits.Concurrency, othersConcurrency))),
		expiresAt: now + d.lifetime,
	}
	if now < d.settledAt && d.safeguards.On(SafeguardSettle) {
		// What the predecessor granted sums up to the limit at most: renew no more.
		share.tokens = min(share.tokens, demand.HeldTokensPerSecond)
		share.concurrency = min(share.concurrency, demand.HeldConcurrency)
	}
	lease.granted = append(lease.granted, share)
	return &v1.Share{
		Tenant: demand.Tenant, TokensPerSecond: share.tokens, Concurrency: share.concurrency,
		ValidMs: uint32(d.lifetime.Milliseconds()),
	}
}

// dropSilent forgets the gateways that have not asked for a lifetime: all they held
// has run out.
func (d *Divider) dropSilent(now time.Duration, owner *tenant, asking string) {
	for name, lease := range owner.leases {
		if name != asking && now-lease.heardAt >= d.lifetime {
			delete(owner.leases, name)
			d.leases--
		}
	}
}

// withRoom is what is wanted and a part of what is left beyond it, but no more than as
// much again: room to grow for this gateway until it asks again, while most is left for
// gateways that meet the tenant next.
func withRoom[T uint32 | uint64](wanted, available T) T {
	if available <= wanted {
		return available
	}
	room := (available - wanted + roomDivisor - 1) / roomDivisor
	return wanted + min(room, wanted+1)
}

// heldByOthers sums what other gateways may still use.
func (t *tenant) heldByOthers(now time.Duration, gateway string) (tokens uint64, concurrency uint32) {
	for name, lease := range t.leases {
		if name == gateway {
			continue
		}
		moreTokens, moreConcurrency := lease.held(now)
		tokens += moreTokens
		concurrency += moreConcurrency
	}
	return tokens, concurrency
}

// fair is the gateway's part when all that ask are served by demand.
func (t *tenant) fair(gateway string, limits Limits) Limits {
	names := make([]string, 0, len(t.leases))
	for name := range t.leases {
		names = append(names, name)
	}
	slices.Sort(names)
	tokens := make([]uint64, len(names))
	concurrency := make([]uint64, len(names))
	for i, name := range names {
		tokens[i] = t.leases[name].demand.WantedTokensPerSecond
		concurrency[i] = uint64(t.leases[name].demand.WantedConcurrency)
	}
	position, _ := slices.BinarySearch(names, gateway)
	return Limits{
		TokensPerSecond: split(limits.TokensPerSecond, tokens)[position],
		Concurrency:     uint32(split(uint64(limits.Concurrency), concurrency)[position]),
	}
}

// Granted lists the shares that may be in use, by tenant and gateway.
func (d *Divider) Granted(now time.Duration) []Granted {
	var list []Granted
	for _, name := range sortedKeys(d.tenants) {
		for _, gateway := range sortedKeys(d.tenants[name].leases) {
			tokens, concurrency := d.tenants[name].leases[gateway].held(now)
			if tokens > 0 || concurrency > 0 {
				list = append(list, Granted{Tenant: name, Gateway: gateway, TokensPerSecond: tokens, Concurrency: concurrency})
			}
		}
	}
	return list
}

// Granted is a share that may be in use at a gateway.
type Granted struct {
	Tenant          string
	Gateway         string
	TokensPerSecond uint64
	Concurrency     uint32
}

// DropExpired forgets the tenants whose shares have all run out. Call it now and then.
func (d *Divider) DropExpired(now time.Duration) {
	for name, owner := range d.tenants {
		d.dropSilent(now, owner, "")
		if len(owner.leases) == 0 {
			delete(d.tenants, name)
		}
	}
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func subtract[T uint32 | uint64](a, b T) T {
	if b >= a {
		return 0
	}
	return a - b
}
