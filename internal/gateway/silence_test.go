package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

// Guards against a request that ends because the engine's machine is silent for 2 s, before its answer or in the middle of
// the stream: a request that must not be repeated has no replacement.
func TestRequestOutlastsASilentMachine(t *testing.T) {
	t.Parallel()
	const silence = 2 * time.Second
	for mode, body := range map[string]string{"whole": unstreamedBody, "streamed": streamBody} {
		t.Run("before the answer/"+mode, func(t *testing.T) {
			t.Parallel()
			engine, accepted := startUnstartedEngine(t)
			engine.server.Config.ConnState = func(connection net.Conn, state http.ConnState) {
				if state == http.StateNew {
					restore := dropPackets(t, connection.(*net.TCPConn))
					time.AfterFunc(silence, restore)
					accepted <- struct{}{}
				}
			}
			engine.server.Start()
			controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
			gateway := startWithOptions(t, testSettings(controller.address), Options{
				Listen: net.Listen, KeyCheckTimeout: patience,
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
					if address == engine.address() && err == nil {
						<-accepted
					}
					return connection, err
				},
			})
			require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == 200 }, eventually, often)
			requireRunOnce(t, engine, chat(t, gateway, "once", body))
		})
		t.Run("in the stream/"+mode, func(t *testing.T) {
			t.Parallel()
			engine := startEngine(t)
			engine.block, engine.blockAfter = make(chan struct{}), 3
			controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
			gateway := startGateway(t, testSettings(controller.address))
			time.AfterFunc(silence, func() { close(engine.block) })
			requireRunOnce(t, engine, chat(t, gateway, "once", body))
		})
	}
}

// startUnstartedEngine returns an engine whose server has not started, and the channel that says that its filter is in place.
func startUnstartedEngine(t *testing.T) (*testEngine, chan struct{}) {
	engine := newEngine()
	engine.server = httptest.NewUnstartedServer(engine)
	t.Cleanup(func() {
		engine.server.CloseClientConnections()
		engine.server.Close()
	})
	return engine, make(chan struct{}, 1)
}

// dropPackets makes a connection drop every packet that arrives, as if its machine were silent, until restore is called.
func dropPackets(t *testing.T, connection *net.TCPConn) (restore func()) {
	raw, err := connection.SyscallConn()
	assert.NoError(t, err)
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	assert.NoError(t, raw.Control(func(descriptor uintptr) {
		assert.NoError(t, unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program[0]}))
	}))
	return func() {
		_ = raw.Control(func(descriptor uintptr) { // fails only if the connection is closed
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
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
