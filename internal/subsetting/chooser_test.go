package subsetting

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The loss of a zone brings in others at once, and its return leaves them.
func TestPartBearsTheLossOfAZone(t *testing.T) {
	chooser := &Chooser{}
	before := chooser.Next(10_000, MinEngines)
	require.Equal(t, SubsetFor(10_000, MinEngines), before)
	during := chooser.Next(8_000, MinEngines)
	require.Less(t, during.Halvings, before.Halvings)
	require.Equal(t, during, chooser.Next(10_000, MinEngines))
}

// A list that was not whole at first does not keep all back ends in the part.
func TestPartFollowsAFleetThatIsMuchLargerThanItSeemed(t *testing.T) {
	chooser := &Chooser{}
	require.Equal(t, Subset{}, chooser.Next(300, MinEngines))
	require.Equal(t, SubsetFor(10_000, MinEngines), chooser.Next(10_000, MinEngines))
}
