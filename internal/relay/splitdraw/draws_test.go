package splitdraw

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Each service of a route gets its share of any 40 consecutive requests, within 2 requests.
func TestSplitsKeepToTheirWeights(t *testing.T) {
	for _, weight := range []int{1, 10, 50, 75, 90} {
		split := serving.Route{Splits: []serving.Split{{Service: "one", Weight: weight}, {Service: "two", Weight: 100 - weight}}}
		random := rand.New(rand.NewPCG(uint64(weight), 1))
		draws := New(random.Float64)
		var chosen []bool
		for range 2000 {
			chosen = append(chosen, split.ChooseService(draws.Next("route")) == "one")
		}
		const window = 40
		for start := range len(chosen) - window {
			count := 0
			for _, one := range chosen[start : start+window] {
				if one {
					count++
				}
			}
			require.InDelta(t, float64(window*weight)/100, count, 2, "weight %d, from %d", weight, start)
		}
	}
}

// The number of stored sequences is bounded when routes come and go.
func TestSplitDrawsAreBounded(t *testing.T) {
	draws := New(func() float64 { return 0.5 })
	for count := range 3 * maxRoutes {
		draw := draws.Next(fmt.Sprint(count))
		require.True(t, draw >= 0 && draw < 1)
		require.LessOrEqual(t, len(draws.last), maxRoutes)
	}
}
