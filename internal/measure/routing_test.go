package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRoutingBeatsBlindChoices holds the order of the choosers on a short run: it
// fails when routing stops using the caches or the loads.
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
	require.Greater(t, router.hitShare(), random.hitShare()*1.2)
	require.Less(t, router.firstToken(0.5), random.firstToken(0.5))
	require.Less(t, router.firstToken(0.99), least.firstToken(0.99))
}

func TestRunsAreReproducible(t *testing.T) {
	scenario := routingScenarios()[1].setup
	scenario.workloads[0].to /= 8
	var shares []float64
	for range 2 {
		world, err := newWorld(scenario)
		require.NoError(t, err)
		shares = append(shares, world.run().hitShare())
	}
	require.Equal(t, shares[0], shares[1])
}
