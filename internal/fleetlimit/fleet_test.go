package fleetlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A limit holds and at least 80% of it is used in a fleet of any size, even with more processes than permitted requests.
func TestALimitHoldsAndIsUsed(t *testing.T) {
	for _, count := range []int{1, 2, 7, 60, 400} {
		for _, perSecond := range []float64{0, 0.3, 1, 1.5, 10, 60} {
			fleet := newTestFleet(1, count, perSecond)
			fleet.run(60*time.Second, 100, func() {})
			largest, at := maximumInWindow(fleet.undisturbedArrivals)
			require.LessOrEqual(t, float64(largest), tolerated(perSecond), "%d processes, %g per second, at %s", count, perSecond, at)
			used := float64(len(fleet.allArrivals)) / 60
			require.GreaterOrEqual(t, used, 0.8*perSecond, "%d processes, %g per second", count, perSecond)
		}
	}
}

// A limit holds while its owners are killed, frozen, cut off and replaced, while process lists become stale and while
// messages are lost.
func TestALimitOutlivesFaults(t *testing.T) {
	for seed := range uint64(60) {
		for _, count := range []int{3, 7, 40} {
			for _, perSecond := range []float64{1, 8, 30} {
				fleet := newTestFleet(seed, count, perSecond)
				fleet.run(60*time.Second, 100, fleet.randomFaults())
				largest, at := maximumInWindow(fleet.undisturbedArrivals)
				require.LessOrEqual(t, float64(largest), tolerated(perSecond), "seed %d, %d processes, %g per second, at %s", seed, count, perSecond, at)
			}
		}
	}
}

// Compares strategies for enforcing a limit on the same requests. Without enforcement the limit is exceeded. An equal share
// per process exceeds it with many processes, since each may send the one request that it holds a token for, and leaves a
// part of the limit unused under uneven load.
func TestLimitStrategies(t *testing.T) {
	for _, row := range []struct {
		processes int
		perSecond float64
		busy      int
	}{{7, 1, 7}, {7, 10, 2}, {60, 1, 60}, {400, 1, 400}, {400, 10, 400}, {400, 60, 40}} {
		run := func(selected strategy) (window int, used float64) {
			fleet := newTestFleet(5, row.processes, row.perSecond)
			fleet.strategy, fleet.busy = selected, row.busy
			fleet.run(60*time.Second, 100, func() {})
			window, _ = maximumInWindow(fleet.undisturbedArrivals)
			return window, float64(len(fleet.allArrivals)) / 60 / row.perSecond
		}
		window, used := run(oneOwner)
		t.Logf("%d processes, %d of them busy, %g per second, %g tolerated in 4 s: one owner %d and %.2f of the limit used", row.processes, row.busy, row.perSecond, tolerated(row.perSecond), window, used)
		require.LessOrEqual(t, float64(window), tolerated(row.perSecond))
		require.GreaterOrEqual(t, used, 0.8)
		for name, selected := range map[string]strategy{"equal shares": equalShares, "unheeded": unlimited} {
			window, used := run(selected)
			t.Logf("    %s: %d and %.2f", name, window, used)
		}
	}
}
