package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// TestSimulatedRunWithoutRequestPath runs the control runtime alone: a simulated run gets the
// back end, the claim and the refusals that a request would get.
func TestSimulatedRunWithoutRequestPath(t *testing.T) {
	controllers := startController(t, engineBackEnd("e1", "127.0.0.1:1", v1.Role_ROLE_MIXED))
	control, err := NewControl(testSettings(controllers.address), ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { control.Run(ctx); close(stopped) }()
	t.Cleanup(func() { stop(); <-stopped })
	require.Eventually(t, func() bool { return control.Revision() == 1 }, 10*time.Second, time.Millisecond)

	once := SimulatedRequest{KeyHash: hashOf(testKey), Kind: "once", Prompt: "a prompt", PromptTokens: 9, OutputTokens: 4, IdempotencyKey: "k"}
	run, err := control.BeginSimulatedRun(once)
	require.NoError(t, err)
	require.Equal(t, "e1", run.BackEnd)
	_, err = control.BeginSimulatedRun(once)
	require.ErrorContains(t, err, codeStillRunning)
	run.Complete()
	require.True(t, control.claimer.waitForFinishes(t.Context()))
	require.Equal(t, 1, controllers.outcomes())

	_, err = control.BeginSimulatedRun(SimulatedRequest{KeyHash: hashOf("no key of anyone"), Kind: "once"})
	require.ErrorContains(t, err, codeInvalidKey)
	_, err = control.BeginSimulatedRun(SimulatedRequest{KeyHash: hashOf(testKey), Kind: "none"})
	require.ErrorContains(t, err, codeUnknownKind)
}
