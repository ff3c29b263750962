package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// Guards against a run that is given up because its engine's machine was silent while the gateway opened the connection for
// the resume: the engine still ran the exchange, and no other engine could take it over.
func TestResumeOutlastsASilentEngine(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"once", "matching"} {
		for mode, body := range map[string]string{"whole": unstreamedBody, "streamed": streamBody} {
			t.Run(kind+"/"+mode, func(t *testing.T) {
				t.Parallel()
				engine := startEngine(t, engineFault{cutAfter: 3, resumable: true})
				controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
				var dials atomic.Int32
				gateway := startWithOptions(t, testSettings(controller.address), Options{
					Listen: net.Listen, KeyCheckTimeout: patience,
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						if address == engine.address() && dials.Add(1) == 2 { // the first one is for the request itself
							<-ctx.Done()
							return nil, ctx.Err()
						}
						return (&net.Dialer{}).DialContext(ctx, network, address)
					},
				})
				require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == 200 }, eventually, often)
				requireRunOnce(t, engine, chat(t, gateway, kind, body))
			})
		}
	}
}

// Guards against a run that is given up because the leader was silent when the gateway requested the permit for the resume.
func TestResumeOutlastsASilentLeader(t *testing.T) {
	t.Parallel()
	for mode, body := range map[string]string{"whole": unstreamedBody, "streamed": streamBody} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			engine := startEngine(t, engineFault{cutAfter: 3, resumable: true})
			engine.limit = "10"
			controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
			controller.unansweredPermits.Store(4)
			requireRunOnce(t, engine, chat(t, startGateway(t, testSettings(controller.address)), "once", body))
			require.Negative(t, controller.unansweredPermits.Load(), "the resume had a permit")
		})
	}
}

// requireRunOnce requires that the engine ran one exchange and that the caller received its whole answer.
func requireRunOnce(t *testing.T, engine *testEngine, answer callerAnswer) {
	t.Helper()
	require.True(t, answer.isComplete, answer.body)
	require.Equal(t, answerText, answer.text)
	runs, _, _ := engine.counts()
	require.Equal(t, 1, runs)
}
