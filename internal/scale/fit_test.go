package scale

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitTellsTheForm(t *testing.T) {
	sizes := []float64{10, 30, 100, 390}
	value := func(of func(float64) float64) []float64 {
		values := make([]float64, len(sizes))
		for position, size := range sizes {
			values[position] = of(size)
		}
		return values
	}
	for _, row := range []struct {
		form   string
		values []float64
	}{
		{FormFlat, value(func(float64) float64 { return 7 })},
		{FormLinear, value(func(x float64) float64 { return 3 + 2*x })},
		{FormSteeper, value(func(x float64) float64 { return x * x })},
		{FormScattered, []float64{5, 1, 9, 2}},
	} {
		require.Equal(t, row.form, NewFit(sizes, row.values).Form)
	}
	line := NewFit(sizes, value(func(x float64) float64 { return 3 + 2*x }))
	require.InDelta(t, 2003, line.At(1000), 1e-6)
	require.Equal(t, "3 + 2 × nodes", line.Line("nodes"))
}

func TestFitsCoverRolesAndDuties(t *testing.T) {
	measured := func(size float64) *Measurement {
		return &Measurement{
			Roles:  []RoleUsage{{Role: RoleLeader, Count: 1, Processor: size / 100, Sent: size * 1000}},
			Duties: []DutyUsage{{Role: RoleLeader, Duty: "call Sync", Messages: size}},
		}
	}
	fits := Fits([]float64{1, 2, 4}, []*Measurement{measured(1), measured(2), measured(4)})
	found := map[string]float64{}
	for _, fit := range fits {
		require.Equal(t, RoleLeader, fit.Role)
		found[fit.Quantity+" "+fit.Unit] = fit.Slope
	}
	require.Len(t, found, 3, "what is 0 at all sizes has no line")
	for _, name := range []string{"processor % of a core", "sent KB/s", "call Sync messages/s"} {
		require.InDelta(t, 1, found[name], 1e-9, name)
	}
}

func TestQuantileCoversItsShare(t *testing.T) {
	values := []float64{4, 1, 3, 2}
	require.InDelta(t, 2, quantile(values, 0.5), 0)
	require.InDelta(t, 4, quantile(values, 0.99), 0)
	require.InDelta(t, 4, quantile(values, 1), 0)
	require.Zero(t, quantile(nil, 0.5))
}
