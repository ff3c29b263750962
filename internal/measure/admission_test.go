package measure

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/admission"
)

const testLength = 20 * time.Second

// TestFloodLeavesNeighbourItsGoodput checks that fair queues isolate tenants: a tenant within its share loses nearly no
// goodput when another one floods. The rows without fair queues show that the flood is large enough to matter.
func TestFloodLeavesNeighbourItsGoodput(t *testing.T) {
	want := map[string]struct{ minimum, maximum float64 }{
		"product, no flood":                   {0.99, 1},
		"product, flood":                      {0.95, 1},
		"one queue first in first out, flood": {0, 0.5},
		"no admission, flood":                 {0, 0.5},
	}
	for _, row := range isolationRows() {
		t.Run(row.name, func(t *testing.T) {
			world, err := isolationWorld(row, testLength)
			require.NoError(t, err)
			counted := world.run().tenant(neighbour)
			share := counted.worth / counted.offered
			require.Contains(t, want, row.name)
			require.GreaterOrEqual(t, share, want[row.name].minimum)
			require.LessOrEqual(t, share, want[row.name].maximum)
		})
	}
}

// TestLowestWorthIsShedFirst checks that under overload requests of low worth are refused first, and that nearly all
// requests that were admitted complete in time.
func TestLowestWorthIsShedFirst(t *testing.T) {
	world, err := sheddingWorld(&admission.Config{}, testLength)
	require.NoError(t, err)
	results := world.run()
	share := func(worth float64) float64 {
		counted := results.kind(worthName(worth))
		return counted.worth / counted.offered
	}
	require.Greater(t, share(12), 0.95)
	require.Greater(t, share(3), share(0.5)+0.3)
	all := results.tenant("one")
	require.Less(t, float64(all.late), 0.02*float64(all.completed+all.late+all.refused))
}

func TestClaimCostsAreCounted(t *testing.T) {
	cost, err := measureClaims(100)
	require.NoError(t, err)
	require.Positive(t, cost.logBytes)
	require.Greater(t, cost.snapshotBytes, 100*claimOutcomeBytes)
}

func TestDecisionsAreMade(t *testing.T) { require.NoError(t, Decisions(io.Discard)) }
