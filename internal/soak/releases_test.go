package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

func newReleases(seed uint64) *faults {
	return &faults{site: &site{options: Options{Seed: seed, Engines: 8, Releases: true}}}
}

// Guards against releases that leave one engine out or replace one twice, or in which old ones leave before new ones are there.
func TestReleasesReplaceEachEngineOnceAndOverlap(t *testing.T) {
	random, drawn, whole := rand.New(rand.NewPCG(1, 1)), newReleases(2), 0
	for range 200 {
		planned := drawn.drawRollout("v1.1", random)
		places := slices.Sorted(slices.Values(planned.places))
		require.Len(t, slices.Compact(places), len(planned.places))
		if len(places) == 8 {
			whole++
		}
		lastJoin := time.Duration(len(places)-1) * planned.joinGap
		require.Greater(t, planned.lastLeave(), lastJoin, "the last old one leaves after the last new one has started")
		require.GreaterOrEqual(t, planned.leavesAt(0), shortestOverlap)
		if planned.isNewFirst {
			require.Greater(t, planned.leavesAt(0), lastJoin)
		}
		require.Equal(t, planned.lastLeave()+standin.DrainListingDelay+planned.serveFor, planned.lastGone())
	}
	require.Greater(t, whole, 150)
}

// Guards against kills of all relays that never come before, during and after the last old back end leaves.
func TestRelaysAreKilledBeforeDuringAndAfterReleases(t *testing.T) {
	random, drawn := rand.New(rand.NewPCG(1, 1)), newReleases(2)
	var early, between, late int
	for range 300 {
		planned := drawn.drawRollout("v1.1", random)
		switch moment := drawn.drawMoment(planned, random); {
		case moment < planned.leavesAt(0):
			early++
		case moment < planned.lastGone():
			between++
		default:
			late++
		}
	}
	for _, count := range []int{early, between, late} {
		require.Greater(t, count, 30)
	}
}

// Guards against releases of odd seeds that come while relays cannot hold one version for the only one.
func TestReleasesOfOddSeedsComeAfterASteadyTime(t *testing.T) {
	random, longest := rand.New(rand.NewPCG(1, 1)), time.Duration(0)
	for _, route := range standin.Routes() {
		if route.Resumable {
			longest = max(longest, route.Timeout)
		}
	}
	for range 50 {
		require.Greater(t, newReleases(1).drawReleaseGap(random), 2*longest)
		require.LessOrEqual(t, newReleases(2).drawReleaseGap(random), longestReleaseGap)
	}
}
