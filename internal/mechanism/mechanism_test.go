package mechanism

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The zero Set disables nothing, and any other Set exactly the named mechanisms.
func TestSets(t *testing.T) {
	set, err := Without([]string{string(HomeEngines), string(Owners)})
	require.NoError(t, err)
	for _, known := range All {
		require.True(t, Set{}.IsEnabled(known.Name))
		require.Equal(t, known.Name != HomeEngines && known.Name != Owners, set.IsEnabled(known.Name), known.Name)
	}
	_, err = Without([]string{"nonsense"})
	require.ErrorContains(t, err, `no mechanism is named "nonsense"`)
}

// The page lists every mechanism, so that the rows of its table can be understood.
func TestPageListsEveryMechanism(t *testing.T) {
	page, err := os.ReadFile("../../docs/ABLATION.md")
	require.NoError(t, err)
	for _, known := range All {
		require.NotEmpty(t, known.Package)
		require.True(t, strings.Contains(string(page), "| without "+string(known.Name)+" | "+known.Meaning), known.Name)
	}
}
