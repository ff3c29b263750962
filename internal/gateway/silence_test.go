package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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

// Guards against resumes that are repeated although they cannot succeed, or although another engine can take the request
// over: the caller would wait for nothing.
func TestResumeIsNotRepeatedWithoutNeed(t *testing.T) {
	t.Parallel()
	silent := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	gone := func(context.Context) error { return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }
	for name, row := range map[string]struct {
		kind       string
		dial       func(context.Context) error
		isComplete bool
		resumes    int32
	}{
		"a gone engine":                       {kind: "once", dial: gone, resumes: 1},
		"a gone engine and a second engine":   {kind: "matching", dial: gone, isComplete: true, resumes: 1},
		"a silent engine and a second engine": {kind: "matching", dial: silent, isComplete: true, resumes: 1},
		"a silent engine, which stays so":     {kind: "once", dial: silent, resumes: maximumResumes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := startEngine(t, engineFault{cutAfter: 3, resumable: true}), startEngine(t)
			backEnds := []*v1.BackEnd{engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED)}
			if row.isComplete {
				backEnds = append(backEnds, engineBackEnd("e2", second.address(), v1.Role_ROLE_MIXED))
			}
			controller := startController(t, backEnds...)
			var resumes atomic.Int32
			gateway := startWithOptions(t, testSettings(controller.address), Options{
				Listen: net.Listen, KeyCheckTimeout: patience,
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					if runs, _, _ := first.counts(); address == first.address() && runs > 0 {
						if deadline, _ := ctx.Deadline(); time.Until(deadline) > cancelLimit {
							resumes.Add(1)
						}
						return nil, row.dial(ctx)
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				},
			})
			require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == 200 }, eventually, often)
			var answer callerAnswer
			require.Eventually(t, func() bool { // until the first engine was chosen
				answer = chat(t, gateway, row.kind, unstreamedBody)
				runs, _, _ := first.counts()
				return runs > 0
			}, eventually, often)
			require.Equal(t, row.isComplete, answer.isComplete, answer.body)
			require.Equal(t, row.resumes, resumes.Load())
		})
	}
}

// cancelLimit separates the dials of resumes, which have 2 s, from those of cancellations and of the crash guard's probes,
// which have at most 1 s.
const cancelLimit = abandonedCancelTimeout

// requireRunOnce requires that the engine ran one exchange and that the caller received its whole answer.
func requireRunOnce(t *testing.T, engine *testEngine, answer callerAnswer) {
	t.Helper()
	require.True(t, answer.isComplete, answer.body)
	require.Equal(t, answerText, answer.text)
	runs, _, _ := engine.counts()
	require.Equal(t, 1, runs)
}
