package shares

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// DefaultLifetime is how long a share is valid after it was granted.
const DefaultLifetime = 4 * time.Second

// MaximumLeases limits the leases over all tenants. When it is reached, gateways without a lease get no share until
// other leases expire.
const MaximumLeases = 500_000

// spareDivisor is the divisor of the spare part of a tenant's limit: one gateway gets an eighth of it beyond its
// demand. The rest remains for gateways that see the tenant next.
const spareDivisor = 8

// SafeguardSettle makes a new leader wait until the shares of its predecessor have expired
// before it grants more than gateways hold.
const SafeguardSettle safeguard.Safeguard = "share settling"

// Limits are a tenant's limits for the whole fleet; 0 is no limit.
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

// New returns the Divider of a controller that does not lead. A lifetime of zero selects the
// default.
func New(lifetime time.Duration, safeguards safeguard.Set) *Divider {
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &Divider{lifetime: lifetime, safeguards: safeguards, tenants: map[string]*tenant{}}
}

// StartLeading resets the Divider for a new leader, which does not know the shares granted before.
// first is true if no leader has ever granted any.
func (d *Divider) StartLeading(now time.Duration, first bool) {
	d.tenants = map[string]*tenant{}
	d.leases = 0
	d.settledAt = now
	if !first {
		d.settledAt = now + d.lifetime
	}
}

// Divide records a gateway's demand for one tenant and returns the gateway's share; nil if the
// tenant has no limit.
func (d *Divider) Divide(now time.Duration, gateway string, demand *v1.ShareDemand, limits Limits) *v1.Share {
	if limits == (Limits{}) {
		return nil
	}
	account := d.tenants[demand.Tenant]
	if account == nil {
		account = &tenant{leases: map[string]*lease{}}
		d.tenants[demand.Tenant] = account
	}
	lease := account.leases[gateway]
	if lease == nil {
		if d.leases >= MaximumLeases {
			return &v1.Share{Tenant: demand.Tenant}
		}
		lease = account.add(gateway)
		d.leases++
	}
	lease.applyDemand(now, demand)
	if account.needsDivision(now, limits) {
		d.leases -= account.dropInactive(now, d.lifetime)
		account.divide(now, limits)
	}
	return d.grant(now, account, lease, demand, limits)
}

// grant computes and records a new share.
func (d *Divider) grant(now time.Duration, account *tenant, lease *lease, demand *v1.ShareDemand, limits Limits) *v1.Share {
	account.updateSums(now, lease)
	maximum := account.maximumShare(lease)
	availableTokens := subtract(limits.TokensPerSecond, account.heldTokens-lease.countedTokens)
	availableConcurrency := subtract(uint64(limits.Concurrency), account.heldConcurrency-lease.countedConcurrency)
	share := grant{
		tokens: min(maximum.TokensPerSecond, addSpare(lease.wantedTokens, availableTokens)),
		concurrency: min(maximum.Concurrency,
			uint32(addSpare(lease.wantedConcurrency, availableConcurrency))),
		expiresAt: now + d.lifetime,
	}
	if now < d.settledAt && d.safeguards.IsEnabled(SafeguardSettle) {
		// The grants of the predecessor sum up to at most the limit: renew them, but grant no more. Do not
		// reduce them for a momentary lack of demand either, since they could not grow back before the
		// predecessor's shares have expired.
		share.tokens = min(availableTokens, demand.HeldTokensPerSecond)
		share.concurrency = uint32(min(availableConcurrency, uint64(demand.HeldConcurrency)))
	}
	lease.granted = append(lease.granted, share)
	account.updateSums(now, lease)
	return &v1.Share{
		Tenant: demand.Tenant, TokensPerSecond: share.tokens, Concurrency: share.concurrency,
		ValidMs: uint32(d.lifetime.Milliseconds()),
	}
}

// addSpare returns the wanted amount plus a fraction of what is available beyond it, at most
// doubling the amount. This lets the gateway grow until its next report and leaves most of the spare
// amount for gateways that see the tenant next.
func addSpare(wanted, available uint64) uint64 {
	if available <= wanted {
		return available
	}
	spare := (available - wanted + spareDivisor - 1) / spareDivisor
	return wanted + min(spare, wanted+1)
}

// ActiveGrants returns the shares that may be in use, sorted by tenant and gateway.
func (d *Divider) ActiveGrants(now time.Duration) []ActiveGrant {
	var list []ActiveGrant
	for _, name := range sortedKeys(d.tenants) {
		for _, gateway := range sortedKeys(d.tenants[name].leases) {
			tokens, concurrency := d.tenants[name].leases[gateway].maximumInUse(now)
			if tokens > 0 || concurrency > 0 {
				list = append(list, ActiveGrant{Tenant: name, Gateway: gateway, TokensPerSecond: tokens, Concurrency: concurrency})
			}
		}
	}
	return list
}

// ActiveGrant is a share that may be in use at a gateway.
type ActiveGrant struct {
	Tenant          string
	Gateway         string
	TokensPerSecond uint64
	Concurrency     uint32
}

// DropExpired deletes the tenants whose shares have all expired. Call it periodically.
func (d *Divider) DropExpired(now time.Duration) {
	for name, account := range d.tenants {
		d.leases -= account.dropInactive(now, d.lifetime)
		if len(account.leases) == 0 {
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

func subtract(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
