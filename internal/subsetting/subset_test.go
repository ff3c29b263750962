package subsetting

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func addresses(count int) []string {
	listed := make([]string, count)
	for index := range listed {
		listed[index] = fmt.Sprintf("10.%d.%d.%d:8080", 128+index>>16, index>>8&255, index&255)
	}
	return listed
}

func addressesIn(subset Subset, listed []string) map[string]bool {
	included := map[string]bool{}
	for _, address := range listed {
		if subset.Contains(address) {
			included[address] = true
		}
	}
	return included
}

// engines returns how many engines are wanted for work that keeps the given number busy.
func engines(busy float64) int { return (&Demand{}).Next(0, MinEngines, busy) }

// The subset follows the work and not the size of the fleet: 470 requests per second that keep 60 engines busy need no
// more of 100,000 engines than of 1,000.
func TestSubsetFollowsTheWorkNotTheFleet(t *testing.T) {
	for _, backEnds := range []int{600, 1000, 2000, 10_000, 20_000, 100_000} {
		included := len(addressesIn(SubsetFor(backEnds, engines(60)), addresses(backEnds)))
		require.GreaterOrEqual(t, included, MinEngines*3/4, "%d back ends", backEnds)
		require.LessOrEqual(t, included, MinEngines*5/2, "%d back ends", backEnds)
	}
}

// Fleets of fewer than twice MinEngines are included whole, whatever their work.
func TestSmallFleetsAreIncludedWhole(t *testing.T) {
	for _, backEnds := range []int{1, 9, 160, MinEngines, 2*MinEngines - 1} {
		require.Equal(t, Subset{}, SubsetFor(backEnds, engines(0)), "%d back ends", backEnds)
		require.Len(t, addressesIn(SubsetFor(backEnds, engines(0)), addresses(backEnds)), backEnds)
	}
}

// Twice the work needs twice the engines, up to all of them.
func TestSubsetGrowsWithTheWork(t *testing.T) {
	const backEnds = 10_000
	for _, busy := range []float64{64, 128, 300, 1200, 2400} {
		included := len(addressesIn(SubsetFor(backEnds, engines(busy)), addresses(backEnds)))
		require.GreaterOrEqual(t, float64(included), 0.9*busy*backEndsPerBusy)
		require.LessOrEqual(t, float64(included), 4.4*busy*backEndsPerBusy)
	}
	require.Equal(t, Subset{}, SubsetFor(backEnds, engines(backEnds)), "a busy fleet is included whole")
}

// A subset that grows keeps its members, so that no prefix cache is lost.
func TestSubsetsNest(t *testing.T) {
	listed := addresses(10_000)
	for halvings := 1; halvings < 8; halvings++ {
		larger := addressesIn(Subset{Halvings: halvings - 1}, listed)
		for address := range addressesIn(Subset{Halvings: halvings}, listed) {
			require.True(t, larger[address])
		}
	}
}
