package fleetlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A limit holds and is used in a fleet of any size, also where processes are more than the requests that it allows.
func TestALimitHoldsAndIsUsed(t *testing.T) {
	for _, count := range []int{1, 2, 7, 60, 400} {
		for _, perSecond := range []float64{0, 0.3, 1, 1.5, 10, 60} {
			fleet := newTestFleet(1, count, perSecond)
			fleet.play(60*time.Second, 100, func() {})
			found, at := most(fleet.counted)
			require.LessOrEqual(t, float64(found), tolerated(perSecond), "%d processes, %g a second, at %s", count, perSecond, at)
			used := float64(len(fleet.all)) / 60
			require.GreaterOrEqual(t, used, 0.8*perSecond, "%d processes, %g a second", count, perSecond)
		}
	}
}

// A limit holds while those that keep the count are killed, frozen, cut off and replaced, while lists get old and
// messages are lost.
func TestALimitOutlivesFaults(t *testing.T) {
	for seed := range uint64(60) {
		for _, count := range []int{3, 7, 40} {
			for _, perSecond := range []float64{1, 8, 30} {
				fleet := newTestFleet(seed, count, perSecond)
				fleet.play(60*time.Second, 100, fleet.faults())
				found, at := most(fleet.counted)
				require.LessOrEqual(t, float64(found), tolerated(perSecond), "seed %d, %d processes, %g a second, at %s", seed, count, perSecond, at)
			}
		}
	}
}

// The ways of keeping a limit, on the same requests: without one the limit is passed; a share for each process is passed
// where processes are many, since each may send the one that it has in hand, and leaves a part unused where work is uneven.
func TestWaysOfKeepingALimit(t *testing.T) {
	for _, row := range []struct {
		processes int
		perSecond float64
		busy      int
	}{{7, 1, 7}, {7, 10, 2}, {60, 1, 60}, {400, 1, 400}, {400, 10, 400}, {400, 60, 40}} {
		play := func(way way) (window int, used float64) {
			fleet := newTestFleet(5, row.processes, row.perSecond)
			fleet.way, fleet.busy = way, row.busy
			fleet.play(60*time.Second, 100, func() {})
			window, _ = most(fleet.counted)
			return window, float64(len(fleet.all)) / 60 / row.perSecond
		}
		window, used := play(oneKeeper)
		t.Logf("%d processes, %d of them busy, %g a second, %g tolerated in 4 s: one keeper %d and %.2f of the limit used", row.processes, row.busy, row.perSecond, tolerated(row.perSecond), window, used)
		require.LessOrEqual(t, float64(window), tolerated(row.perSecond))
		require.GreaterOrEqual(t, used, 0.8)
		for name, way := range map[string]way{"equal shares": equalShares, "unheeded": unheeded} {
			window, used := play(way)
			t.Logf("    %s: %d and %.2f", name, window, used)
		}
	}
}
