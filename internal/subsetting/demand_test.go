package subsetting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The demand grows with the work at once and shrinks only after a delay; swings by up to four times do not change it.
func TestDemandGrowsAtOnceAndShrinksLate(t *testing.T) {
	demand := &Demand{}
	require.Equal(t, MinEngines, demand.Next(0, MinEngines, 0))
	grown := demand.Next(time.Second, MinEngines, 500)
	require.GreaterOrEqual(t, grown, 500*backEndsPerBusy)
	require.Less(t, grown, 2*500*backEndsPerBusy)
	for second := range 3600 {
		busy := 500.0
		if second%2 == 0 {
			busy = 260
		}
		require.Equal(t, grown, demand.Next(time.Duration(second)*time.Second, MinEngines, busy))
	}
	require.Equal(t, grown, demand.Next(2*time.Hour, MinEngines, 0))
	require.Equal(t, grown, demand.Next(2*time.Hour+shrinkDelay-1, MinEngines, 0))
	require.Equal(t, MinEngines, demand.Next(2*time.Hour+shrinkDelay, MinEngines, 0))
}

// A new leader adopts its predecessor's demand, even before it knows the work.
func TestNewLeaderAdoptsTheDemand(t *testing.T) {
	demand := &Demand{}
	require.True(t, demand.Adopt(1024))
	require.False(t, demand.Adopt(512))
	require.Equal(t, 1024, demand.Next(0, MinEngines, 0))
	demand.Adopt(1 << 40)
	require.Equal(t, maxWanted, demand.Wanted(), "an adopted number is bounded")
}
