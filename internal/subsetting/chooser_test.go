package subsetting

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The loss of a zone adds other back ends at once, and its recovery does not remove them.
func TestSubsetCoversTheLossOfAZone(t *testing.T) {
	chooser := &Chooser{}
	before := chooser.Next(10_000, MinEngines)
	require.Equal(t, SubsetFor(10_000, MinEngines), before)
	during := chooser.Next(8_000, MinEngines)
	require.Less(t, during.Halvings, before.Halvings)
	require.Equal(t, during, chooser.Next(10_000, MinEngines))
}

// If the first list was incomplete, the subset shrinks once the list is complete.
func TestSubsetShrinksOnceTheListIsComplete(t *testing.T) {
	chooser := &Chooser{}
	require.Equal(t, Subset{}, chooser.Next(300, MinEngines))
	require.Equal(t, SubsetFor(10_000, MinEngines), chooser.Next(10_000, MinEngines))
}
