package backpressure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLimitsAreDecimalNumbers(t *testing.T) {
	for value, expected := range map[string]Limit{
		"1.5":    {Named: true, PerSecond: 1.5},
		" 2 ":    {Named: true, PerSecond: 2},
		"0":      {Named: true},
		"0.001":  {Named: true, PerSecond: 0.001},
		"1e2":    {Named: true, PerSecond: 100},
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
	require.Equal(t, Limit{Named: true, PerSecond: 2}, smallest)
}
