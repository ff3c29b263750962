package subsetting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Work that grows is met at once; less of it only after a while; swings of up to four times change nothing.
func TestDemandGrowsAtOnceAndShrinksLate(t *testing.T) {
	demand := &Demand{}
	require.Equal(t, MinEngines, demand.Next(0, MinEngines, 0))
	grown := demand.Next(time.Second, MinEngines, 500)
	require.GreaterOrEqual(t, grown, 500*spare)
	require.Less(t, grown, 2*500*spare)
	for second := range 3600 {
		busy := 500.0
		if second%2 == 0 {
			busy = 260
		}
		require.Equal(t, grown, demand.Next(time.Duration(second)*time.Second, MinEngines, busy))
	}
	require.Equal(t, grown, demand.Next(2*time.Hour, MinEngines, 0))
	require.Equal(t, grown, demand.Next(2*time.Hour+shrinkAfter-1, MinEngines, 0))
	require.Equal(t, MinEngines, demand.Next(2*time.Hour+shrinkAfter, MinEngines, 0))
}

// A new leader goes on with what its predecessor wanted, also before it knows the work.
func TestNewLeaderGoesOnWithTheDemand(t *testing.T) {
	demand := &Demand{}
	require.True(t, demand.Adopt(1024))
	require.False(t, demand.Adopt(512))
	require.Equal(t, 1024, demand.Next(0, MinEngines, 0))
	demand.Adopt(1 << 40)
	require.Equal(t, mostWanted, demand.Wanted(), "what others tell is bounded")
}
