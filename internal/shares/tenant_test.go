package shares

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestDivisionsDependOnTimeNotReports checks with 390 gateways, the target fleet size, that the work
// per report does not grow with the number of gateways.
func TestDivisionsDependOnTimeNotReports(t *testing.T) {
	const gateways = 390
	limits := Limits{TokensPerSecond: 1_000_000, Concurrency: 10_000}
	divider := New(0, safeguard.Set{})
	divider.StartLeading(0, true)
	now := time.Duration(0)
	divisionsInOneSecond := func() int {
		before := 0
		if owner := divider.tenants["tenant"]; owner != nil {
			before = owner.divisions
		}
		for gateway := range gateways {
			now += time.Second / gateways
			demand := &v1.ShareDemand{Tenant: "tenant", WantedTokensPerSecond: uint64(1000 + gateway), WantedConcurrency: 5}
			require.NotNil(t, divider.Divide(now, fmt.Sprint("gateway-", gateway), demand, limits))
		}
		return divider.tenants["tenant"].divisions - before
	}
	require.LessOrEqual(t, divisionsInOneSecond(), int(time.Second/divideInterval)+1, "while all gateways are new")
	require.LessOrEqual(t, divisionsInOneSecond(), int(time.Second/divideInterval)+1)
	for name, lease := range divider.tenants["tenant"].leases {
		require.Positive(t, lease.granted[len(lease.granted)-1].tokens, name)
	}

	owner := divider.tenants["tenant"]
	var tokens, concurrency uint64
	for _, lease := range owner.leases {
		heldTokens, heldConcurrency := lease.maximumInUse(now)
		tokens, concurrency = tokens+heldTokens, concurrency+uint64(heldConcurrency)
	}
	require.GreaterOrEqual(t, owner.heldTokens, tokens, "the sums never miss what may be in use")
	require.GreaterOrEqual(t, owner.heldConcurrency, concurrency)
	require.LessOrEqual(t, owner.heldTokens, limits.TokensPerSecond)

	divider.DropExpired(now + DefaultLifetime + time.Second)
	require.Zero(t, divider.leases)
	require.Zero(t, owner.heldTokens)
	require.Zero(t, owner.heldConcurrency)
}
