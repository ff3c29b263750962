package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseRetryAfterSeconds(t *testing.T) {
	for value, expected := range map[string]time.Duration{
		"3":                             3 * time.Second,
		" 3 ":                           3 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"":                              0,
		"0":                             0,
		"-1":                            0,
		"soon":                          0,
		"NaN":                           0,
		"Inf":                           maximumBackoff,
		"1e300":                         maximumBackoff,
		"Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		require.Equal(t, expected, ParseRetryAfter([]byte(value)), value)
	}
}
