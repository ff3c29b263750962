package benchcommand

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestSimulateReportsViolation disables a safeguard: the command must fail and print the seed, the broken
// invariant and the end of the trace.
func TestSimulateReportsViolation(t *testing.T) {
	for _, row := range []struct {
		name       string
		json       bool
		wantStdout string
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
			require.Equal(t, ExitFailed, reportError(err, "simulate", Environment{Stderr: &stderr}))
			require.Contains(t, stdout.String(), row.wantStdout)
			require.Contains(t, stderr.String(), "VIOLATION")
			require.Contains(t, stderr.String(), "operator-1")
			require.Contains(t, stderr.String(), "--seeds 1 --steps 3000 --deployment small")
		})
	}
}
