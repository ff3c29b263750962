package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRoutingBeatsBlindChoices compares choosers on a short run. It fails when the router no longer uses the prefix
// caches or the loads.
func TestRoutingBeatsBlindChoices(t *testing.T) {
	scenario := routingScenarios()[0].setup
	scenario.workloads[0].to /= 4
	run := func(chooser string) *results {
		scenario.chooser = chooser
		world, err := newWorld(scenario)
		require.NoError(t, err)
		return world.run()
	}
	random, least, router := run(chooserRandom), run(chooserLeastLoad), run(chooserRouter)
	require.Greater(t, router.cacheHitShare(), random.cacheHitShare()*1.2)
	require.Less(t, router.firstTokenQuantile(0.5), random.firstTokenQuantile(0.5))
	require.Less(t, router.firstTokenQuantile(0.99), least.firstTokenQuantile(0.99))
}

func TestRunsAreReproducible(t *testing.T) {
	scenario := routingScenarios()[1].setup
	scenario.workloads[0].to /= 8
	var shares []float64
	for range 2 {
		world, err := newWorld(scenario)
		require.NoError(t, err)
		shares = append(shares, world.run().cacheHitShare())
	}
	require.Equal(t, shares[0], shares[1])
}
