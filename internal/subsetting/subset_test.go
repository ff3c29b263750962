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

func held(part Subset, listed []string) map[string]bool {
	held := map[string]bool{}
	for _, address := range listed {
		if part.Contains(address) {
			held[address] = true
		}
	}
	return held
}

// engines is how many engines are wanted for work that keeps some busy.
func engines(busy float64) int { return (&Demand{}).Next(0, MinEngines, busy) }

// What relays are told of follows the work and not the size of the fleet: 470 requests a second that keep
// 60 engines busy need no more of 100,000 engines than of 1,000.
func TestPartFollowsTheWorkAndNotTheFleet(t *testing.T) {
	for _, backEnds := range []int{600, 1000, 2000, 10_000, 20_000, 100_000} {
		told := len(held(SubsetFor(backEnds, engines(60)), addresses(backEnds)))
		require.GreaterOrEqual(t, told, MinEngines*3/4, "%d back ends", backEnds)
		require.LessOrEqual(t, told, MinEngines*5/2, "%d back ends", backEnds)
	}
}

// Fleets of up to twice the least number are told whole, whatever their work.
func TestSmallFleetsAreToldWhole(t *testing.T) {
	for _, backEnds := range []int{1, 9, 160, MinEngines, 2*MinEngines - 1} {
		require.Equal(t, Subset{}, SubsetFor(backEnds, engines(0)), "%d back ends", backEnds)
		require.Len(t, held(SubsetFor(backEnds, engines(0)), addresses(backEnds)), backEnds)
	}
}

// Twice the work brings twice the engines, up to all of them.
func TestPartGrowsWithTheWork(t *testing.T) {
	const backEnds = 10_000
	for _, busy := range []float64{64, 128, 300, 1200, 2400} {
		told := len(held(SubsetFor(backEnds, engines(busy)), addresses(backEnds)))
		require.GreaterOrEqual(t, float64(told), 0.9*busy*spare)
		require.LessOrEqual(t, float64(told), 4.4*busy*spare)
	}
	require.Equal(t, Subset{}, SubsetFor(backEnds, engines(backEnds)), "a fleet that is busy is used whole")
}

// A part that grows keeps what it held, so that nothing that engines have read is lost.
func TestPartsNest(t *testing.T) {
	listed := addresses(10_000)
	for halvings := 1; halvings < 8; halvings++ {
		larger := held(Subset{Halvings: halvings - 1}, listed)
		for address := range held(Subset{Halvings: halvings}, listed) {
			require.True(t, larger[address])
		}
	}
}
