package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reading a load or a slowdown from a header that does not have it, and against losing the load when only
// the optional figures are malformed.
func TestParseLoadHeader(t *testing.T) {
	for value, want := range map[string]reportedLoad{
		"3,4":                  {running: 3, waiting: 4},
		" 3 , 4 , 6 ":          {running: 3, waiting: 4, slots: 6},
		"3,4,6,250":            {running: 3, waiting: 4, slots: 6, relativeTimePercent: 250},
		"3,4,six,usual":        {running: 3, waiting: 4},
		"3,4,-6,-1":            {running: 3, waiting: 4},
		"3,4,6,100,of a later": {running: 3, waiting: 4, slots: 6, relativeTimePercent: 100},
	} {
		load, isReadable := parseLoadHeader(value)
		require.True(t, isReadable, value)
		require.Equal(t, want, load, value)
	}
	for _, value := range []string{"", "3", "x,4", "3,", "3;4"} {
		_, isReadable := parseLoadHeader(value)
		require.False(t, isReadable, value)
	}
}
