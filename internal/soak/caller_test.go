package soak

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// TestCallersReactToRefusals guards against callers that repeat a request that may have run, return at another time
// than they were told, or wait longer than users' clients do.
func TestCallersReactToRefusals(t *testing.T) {
	refusal := func(after time.Duration) history.Sending { return history.Sending{Status: 503, RetryAfter: after} }
	rows := map[string]struct {
		behaviour retryBehaviour
		sent      history.Sending
		attempts  int
		again     bool
	}{
		"returns as told":                    {returnsAsTold, refusal(300 * time.Millisecond), 1, true},
		"is told no time":                    {returnsAsTold, refusal(0), 1, false},
		"is told a time that is too late":    {returnsAsTold, refusal(callerTimeout / 2), 1, false},
		"failed, and may have run":           {returnsAsTold, history.Sending{Status: 502, RetryAfter: time.Millisecond}, 1, false},
		"got the failure of a back end":      {retriesAtOnce, history.Sending{Status: 503, Seal: "s"}, 1, false},
		"got no answer":                      {retriesAtOnce, history.Sending{}, 1, false},
		"retries at once":                    {retriesAtOnce, refusal(callerTimeout), maxImmediateAttempts - 1, true},
		"has retried often enough":           {retriesAtOnce, refusal(0), maxImmediateAttempts, false},
		"leaves although it could come back": {leaves, refusal(time.Millisecond), 1, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // in virtual time, so that no time passes
				client := &caller{behaviour: row.behaviour, started: time.Now(), random: rand.New(rand.NewPCG(1, 1))}
				pause, again := client.pauseAfter(row.sent, row.attempts)
				require.Equal(t, row.again, again)
				if row.again && row.behaviour == returnsAsTold {
					require.Equal(t, row.sent.RetryAfter, pause)
				}
			})
		})
	}
}
