package benchcommand

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestSimulateTellsABrokenPromise switches a safeguard off: the command fails and
// prints the seed, what was broken, and the trace up to it.
func TestSimulateTellsABrokenPromise(t *testing.T) {
	for _, row := range []struct {
		name  string
		json  bool
		shown string
	}{
		{"text", false, "seed 1 breaks a promise: one winner at "},
		{"JSON", true, `"check": "one winner"`},
	} {
		t.Run(row.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			flags := &simulateFlags{
				Seeds: "1..5", Steps: 3000, Deployment: "small", Workers: 1, JSON: row.json,
				safeguards: safeguard.Without(controlstate.ChangeNumberCheck),
			}
			err := flags.run(context.Background(), Environment{Stdout: &stdout, Stderr: &stderr}, nil)
			require.ErrorContains(t, err, "seed 1 breaks a promise: one winner")
			require.Equal(t, ExitFailed, exitCode(err, "simulate", Environment{Stderr: &stderr}))
			require.Contains(t, stdout.String(), row.shown)
			require.Contains(t, stderr.String(), "VIOLATION")
			require.Contains(t, stderr.String(), "operator-1")
			require.Contains(t, stderr.String(), "--seeds 1 --steps 3000 --deployment small")
		})
	}
}
