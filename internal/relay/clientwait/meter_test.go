package clientwait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow client that counts as fast, and a fast client of a long answer that counts as slow.
func TestIsClientSlow(t *testing.T) {
	for _, test := range []struct {
		name   string
		write  time.Duration
		writes int
		isSlow bool
	}{
		{"no write", 0, 0, false},
		{"many short writes", 500 * time.Microsecond, 2000, false},
		{"one long wait", 400 * time.Millisecond, 1, true},
		{"many waits", 5 * time.Millisecond, 100, true},
		{"some waits", 5 * time.Millisecond, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var meter Meter
			for range test.writes {
				meter.RecordWrite(test.write)
			}
			require.Equal(t, test.isSlow, meter.IsClientSlow(time.Second))
		})
	}
}
