package shares

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestMain fixes the seed of the property tests so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSplit(t *testing.T) {
	cases := []struct {
		name  string
		limit uint64
		wants []uint64
		parts []uint64
	}{
		{"no gateways", 10, nil, []uint64{}},
		{"no limit", 0, []uint64{5}, []uint64{0}},
		{"a single gateway gets everything", 10, []uint64{3}, []uint64{10}},
		{"equal wants", 10, []uint64{9, 9}, []uint64{5, 5}},
		{"a small demand is met", 10, []uint64{2, 100}, []uint64{2, 8}},
		{"the remainder is shared", 10, []uint64{1, 3}, []uint64{4, 6}},
		{"fewer units than gateways", 2, []uint64{1, 1, 1}, []uint64{0, 1, 1}},
		{"gateways without demand", 9, []uint64{0, 0, 0}, []uint64{3, 3, 3}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.parts, split(test.limit, test.wants))
		})
	}
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.Uint64Range(0, 1000).Draw(r, "limit")
		wants := rapid.SliceOfN(rapid.Uint64Range(0, 400), 1, 12).Draw(r, "wants")
		var sum uint64
		for i, part := range split(limit, wants) {
			sum += part
			require.GreaterOrEqual(r, part, min(wants[i], limit/uint64(len(wants))), "no less than an equal part")
		}
		require.Equal(r, limit, sum)
	})
}

// testGateway simulates a gateway: it uses a share until the share expires.
type testGateway struct {
	name  string
	share *v1.Share
	until time.Duration
}

func (g *testGateway) holds(now time.Duration) (tokens uint64, concurrency uint32) {
	if g.share == nil || now >= g.until {
		return 0, 0
	}
	return g.share.TokensPerSecond, g.share.Concurrency
}

// report sends a demand and applies the returned share unless the answer is lost.
func (g *testGateway) report(now time.Duration, divider *Divider, want uint64, limits Limits, lost bool) {
	tokens, concurrency := g.holds(now)
	share := divider.Divide(now, g.name, &v1.ShareDemand{
		Tenant: "tenant", WantedTokensPerSecond: want, WantedConcurrency: uint32(want / 100),
		HeldTokensPerSecond: tokens, HeldConcurrency: concurrency,
	}, limits)
	if !lost {
		g.share, g.until = share, now+time.Duration(share.ValidMs)*time.Millisecond
	}
}

// runRandomReports lets gateways report at random to a succession of leaders. It returns an error if
// after any report more than the limit is in use.
func runRandomReports(r *rapid.T, off ...safeguard.Safeguard) error {
	limits := Limits{TokensPerSecond: rapid.Uint64Range(1, 1000).Draw(r, "tokens"), Concurrency: rapid.Uint32Range(1, 10).Draw(r, "concurrency")}
	divider := New(0, safeguard.Without(off...))
	divider.StartLeading(0, true)
	gateways := make([]*testGateway, rapid.IntRange(1, 16).Draw(r, "gateways"))
	for i := range gateways {
		gateways[i] = &testGateway{name: fmt.Sprint("gateway-", i)}
	}
	now := time.Duration(0)
	for range rapid.IntRange(1, 160).Draw(r, "reports") {
		now += time.Duration(rapid.IntRange(0, 3000/len(gateways)).Draw(r, "pause")) * time.Millisecond
		if rapid.IntRange(0, 14).Draw(r, "leader change") == 0 {
			divider = New(0, safeguard.Without(off...))
			divider.StartLeading(now, false)
		}
		gateway := gateways[rapid.IntRange(0, len(gateways)-1).Draw(r, "gateway")]
		gateway.report(now, divider, rapid.Uint64Range(0, 1200).Draw(r, "want"), limits, rapid.IntRange(0, 4).Draw(r, "lost") == 0)
		var tokens uint64
		var concurrency uint32
		for _, other := range gateways {
			t, c := other.holds(now)
			tokens, concurrency = tokens+t, concurrency+c
		}
		if tokens > limits.TokensPerSecond || concurrency > limits.Concurrency {
			return fmt.Errorf("%d tokens and %d requests in use of %v", tokens, concurrency, limits)
		}
	}
	return nil
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { require.NoError(r, runRandomReports(r)) })
}

func TestSharesExceedTheLimitWithoutSettling(t *testing.T) {
	exceeded := 0
	rapid.Check(t, func(r *rapid.T) {
		if runRandomReports(r, SafeguardSettle) != nil {
			exceeded++
		}
	})
	require.Positive(t, exceeded)
}

func TestNewLeaderRenewsWhatGatewaysHold(t *testing.T) {
	limits := Limits{TokensPerSecond: 100, Concurrency: 10}
	divider := New(0, safeguard.Set{})
	divider.StartLeading(0, true)
	gateway := &testGateway{name: "gateway"}
	gateway.report(0, divider, 500, limits, false)
	require.Equal(t, uint64(100), gateway.share.TokensPerSecond)
	granted := gateway.share
	next := New(0, safeguard.Set{})
	next.StartLeading(time.Second, false)
	gateway.report(time.Second, next, 500, limits, false)
	require.Equal(t, uint64(100), gateway.share.TokensPerSecond, "renewed without a gap")
	gateway.report(1500*time.Millisecond, next, 0, limits, false)
	require.Equal(t, uint64(100), gateway.share.TokensPerSecond, "a moment without demand takes nothing that could not come back")
	require.Equal(t, granted.Concurrency, gateway.share.Concurrency)
	gateway.report(2*time.Second, next, 500, limits, false)
	require.Equal(t, uint64(100), gateway.share.TokensPerSecond)
	unknown := &testGateway{name: "stranger"}
	unknown.report(time.Second, next, 500, limits, false)
	require.Zero(t, unknown.share.TokensPerSecond)
}

// TestNewGatewaysGetAShareImmediately checks that below half of the limit each gateway that newly sees
// the tenant gets its demand with its first report.
func TestNewGatewaysGetAShareImmediately(t *testing.T) {
	limits := Limits{TokensPerSecond: 20 * 601, Concurrency: 20 * 7}
	divider := New(0, safeguard.Set{})
	divider.StartLeading(0, true)
	for i := range 20 {
		gateway := &testGateway{name: fmt.Sprint("gateway-", i)}
		gateway.report(time.Duration(i)*10*time.Millisecond, divider, 300, limits, false)
		require.GreaterOrEqual(t, gateway.share.TokensPerSecond, uint64(300), gateway.name)
		require.GreaterOrEqual(t, gateway.share.Concurrency, uint32(3), gateway.name)
	}
}

func TestSharesFollowDemandWithinOneLifetime(t *testing.T) {
	limits := Limits{TokensPerSecond: 1000}
	divider := New(0, safeguard.Set{})
	divider.StartLeading(0, true)
	busy, quiet := &testGateway{name: "busy"}, &testGateway{name: "quiet"}
	now := time.Duration(0)
	for ; now < 10*time.Second; now += time.Second {
		busy.report(now, divider, 5000, limits, false)
		quiet.report(now, divider, 10, limits, false)
	}
	require.Equal(t, uint64(990), busy.share.TokensPerSecond)
	for end := now + 3*time.Second; now < end; now += time.Second {
		busy.report(now, divider, 10, limits, false)
		quiet.report(now, divider, 5000, limits, false)
	}
	require.Equal(t, uint64(990), quiet.share.TokensPerSecond, "three reports later, when each answer arrives")
	require.Len(t, divider.ActiveGrants(now), 2)
	divider.DropExpired(now + 2*DefaultLifetime)
	require.Empty(t, divider.ActiveGrants(now+2*DefaultLifetime))
	require.Nil(t, divider.Divide(now, "busy", &v1.ShareDemand{Tenant: "free"}, Limits{}), "no limit, no share")
}

// BenchmarkDivide measures the cost of one tenant's share for different numbers of gateways.
func BenchmarkDivide(b *testing.B) {
	for _, gateways := range []int{1, 10, 100, 390} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			divider := New(0, safeguard.Set{})
			divider.StartLeading(0, true)
			demand := &v1.ShareDemand{Tenant: "tenant", WantedTokensPerSecond: 100, WantedConcurrency: 1}
			names := make([]string, gateways)
			for i := range names {
				names[i] = fmt.Sprint("gateway-", i)
			}
			for i := range b.N {
				now := time.Duration(i) * time.Second / time.Duration(gateways)
				divider.Divide(now, names[i%gateways], demand, Limits{TokensPerSecond: 10_000, Concurrency: 100})
			}
		})
	}
}
