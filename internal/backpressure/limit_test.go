package backpressure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLimitsAreDecimalNumbers(t *testing.T) {
	for value, expected := range map[string]Limit{
		"1.5":    {IsSet: true, PerSecond: 1.5},
		" 2 ":    {IsSet: true, PerSecond: 2},
		"0":      {IsSet: true},
		"0.001":  {IsSet: true, PerSecond: 0.001},
		"1e2":    {IsSet: true, PerSecond: 100},
		"100001": {},
		"1e999":  {},
	} {
		limit, readable := ParseLimit([][]byte{[]byte(value)})
		require.True(t, readable, value)
		require.Equal(t, expected, limit, value)
	}
	for _, value := range []string{"-1", "-0.5", "none", "NaN", "Inf", "0x10", "1,5", "1.5/s", " ", "1_0", "--", "-1e999", ""} {
		limit, readable := ParseLimit([][]byte{[]byte("1"), []byte(value)})
		require.False(t, readable, value)
		require.Equal(t, Limit{}, limit, value)
	}
	none, readable := ParseLimit(nil)
	require.True(t, readable)
	require.Equal(t, Limit{}, none)
	smallest, readable := ParseLimit([][]byte{[]byte("1e999"), []byte("3"), []byte("2"), []byte("4")})
	require.True(t, readable)
	require.Equal(t, Limit{IsSet: true, PerSecond: 2}, smallest)
}

// For any header value, a limit lies between 0 and maximumLimit.
func FuzzParseLimit(f *testing.F) {
	for _, value := range []string{"1.5", "0", "-0", "1e-400", "1e400", "+.5", "99999.99", "e", ""} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		limit, readable := ParseLimit([][]byte{value})
		if !readable || !limit.IsSet {
			require.Equal(t, Limit{}, limit)
			return
		}
		require.GreaterOrEqual(t, limit.PerSecond, 0.0)
		require.LessOrEqual(t, limit.PerSecond, float64(maximumLimit))
	})
}
