package limits_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/limits"
	"github.com/hazelpitch/hazelpitch/internal/shares"
)

// bound returns the documented bound on the tokens that a fleet uses for a tenant within a window, as a ratio to the
// tokens that the tenant's limit permits in the window. The tokens of the bound are the sum of these:
//   - once for the fleet: what the limit permits in the window, and one full bucket, which is one second of the limit;
//   - for each gateway that sees the tenant: its initial share, and one request;
//   - once, if any gateway is cut off: what the limit permits in one lease period.
func (f *fleet) bound(window time.Duration) float64 {
	perSecond := float64(f.limit.TokensPerSecond)
	allowed := perSecond * (window + time.Second).Seconds()
	initial := perSecond / 128 * (time.Second + 2*3*time.Second).Seconds()
	allowed += float64(len(f.gateways)) * (initial + 1.5*meanTokens)
	if slices.ContainsFunc(f.gateways, func(gateway *fleetGateway) bool { return gateway.isCutOff }) {
		allowed += perSecond * shares.DefaultLifetime.Seconds()
	}
	return allowed / (perSecond * window.Seconds())
}

// TestFleetStaysWithinBound checks the documented overshoot bound on whole fleets. The last row
// shows that the check can fail. A tenant below its limit is never refused.
func TestFleetStaysWithinBound(t *testing.T) {
	rows := []struct {
		name         string
		gateways     int
		offered      float64
		cut          int
		undivided    bool
		exceedsBound bool
	}{
		{name: "one gateway below the limit", gateways: 1, offered: 0.5},
		{name: "one gateway above the limit", gateways: 1, offered: 2},
		{name: "eight gateways below the limit", gateways: 8, offered: 0.5},
		{name: "eight gateways above the limit", gateways: 8, offered: 2},
		{name: "half of the gateways are cut off", gateways: 8, offered: 3, cut: 4},
		{name: "all gateways are cut off", gateways: 8, offered: 3, cut: 8},
		{name: "each gateway holds the whole limit", gateways: 8, offered: 3, undivided: true, exceedsBound: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, row.gateways, limits.Limit{TokensPerSecond: 1_000_000, Concurrency: 4000}, row.offered*1_000_000)
			f.undivided = row.undivided
			f.run(10 * time.Second)
			f.cutOff(row.cut)
			f.run(25 * time.Second)
			if row.cut == row.gateways {
				f.requireNothingLeft(t)
			}
			exceeded := false
			for _, window := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
				exceeded = exceeded || f.peak(window) > f.bound(window)
			}
			require.Equal(t, row.exceedsBound, exceeded)
			require.LessOrEqual(t, f.count.longestWait, 2*time.Second+fleetStep)
			if row.offered < 1 {
				require.Zero(t, f.count.refused)
			}
		})
	}
}

// requireNothingLeft runs the gateways until their shares have expired and checks that no request
// passes afterwards.
func (f *fleet) requireNothingLeft(t *testing.T) {
	f.run(settledAfter + 11*shares.DefaultLifetime)
	left := len(f.perStep)
	f.run(f.now + 2*time.Second)
	require.Zero(t, slices.Max(f.perStep[left:]))
}

// cutOff disconnects the first gateways from the controllers.
func (f *fleet) cutOff(gateways int) {
	for _, gateway := range f.gateways[:gateways] {
		gateway.isCutOff = true
	}
}

// BenchmarkFleet enforces one tenant's limit of 1,000,000 tokens per second on gateways that all see
// the tenant at the same time, for 30 s, at half and at twice the limit.
func BenchmarkFleet(b *testing.B) {
	for _, gateways := range []int{1, 8, 64, 390} {
		for _, load := range []float64{0.5, 2} {
			b.Run(fmt.Sprintf("gateways=%d/offered=%v", gateways, load), func(b *testing.B) {
				benchmarkFleet(b, gateways, load, 0)
			})
		}
		b.Run(fmt.Sprintf("gateways=%d/offered=2/half-cut-off", gateways), func(b *testing.B) {
			benchmarkFleet(b, gateways, 2, (gateways+1)/2)
		})
	}
}

func benchmarkFleet(b *testing.B, gateways int, load float64, cut int) {
	var f *fleet
	for range b.N {
		f = newFleet(b, gateways, limits.Limit{TokensPerSecond: 1_000_000}, load*1_000_000)
		f.run(settledAfter)
		f.cutOff(cut)
		f.run(30 * time.Second)
	}
	b.ReportMetric(f.peak(time.Second), "peak-1s")
	b.ReportMetric(f.peak(10*time.Second), "peak-10s")
	b.ReportMetric(f.bound(10*time.Second), "bound-10s")
	b.ReportMetric(100*f.meanUse(), "use-%")
	b.ReportMetric(float64(f.count.refused-f.count.refusedSettled), "refused-start")
	b.ReportMetric(float64(f.count.refusedSettled), "refused-after")
	b.ReportMetric(float64(f.count.offered), "offered")
	b.ReportMetric(float64(f.count.waited), "waited")
	b.ReportMetric(float64(f.count.reports)/30/float64(gateways), "reports/gateway/s")
}
