package simulation

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPageNamesEverything checks that docs/SIMULATION.md names all faults, fleets and checks.
func TestPageNamesEverything(t *testing.T) {
	page, err := os.ReadFile("../../docs/SIMULATION.md")
	require.NoError(t, err)
	var names []string
	for _, kind := range slices.Concat(faultKinds, emphasisedKinds, []FaultKind{FaultSecondLost}) {
		names = append(names, string(kind))
	}
	for name := range Deployments {
		names = append(names, name)
	}
	for _, row := range safeguardRows {
		names = append(names, row.check)
	}
	for _, name := range names {
		require.True(t, strings.Contains(string(page), "`"+name+"`"), "docs/SIMULATION.md does not name `%s`", name)
	}
}
