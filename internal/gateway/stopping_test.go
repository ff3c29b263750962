package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// openStream sends a streamed request and returns once its first token has arrived.
func openStream(t *testing.T, gateway *testGateway) *http.Response {
	connection := dial(t, gateway, rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", streamBody))
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	first := make([]byte, 1)
	_, err = io.ReadFull(answer.Body, first)
	require.NoError(t, err)
	return answer
}

// TestStopFinishesStreams shows that a stopping gateway announces it, refuses new connections
// and completes the streams in flight.
func TestStopFinishesStreams(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	engine.block, engine.blockAfter = make(chan struct{}), 2
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	require.Equal(t, http.StatusOK, gateway.probe(t, metrics.PathHealth))
	answer := openStream(t, gateway)
	gateway.stop()
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusServiceUnavailable }, eventually, often)
	require.Equal(t, http.StatusOK, gateway.probe(t, metrics.PathHealth), "a stopping process is healthy")
	require.Eventually(t, controller.leaving.Load, eventually, often)
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", gateway.address)
		if err != nil {
			return true
		}
		_ = connection.Close()
		return false
	}, eventually, often)
	close(engine.block)
	rest, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), string(rest))
	require.Equal(t, verdict.Ran.String(), answer.Trailer.Get(verdict.Trailer))
	runs, _, cancels := engine.counts()
	require.Equal(t, 1, runs)
	require.Zero(t, cancels)
}

// TestStopGivesUp shows that a stream that exceeds drain_timeout ends with an error that names
// the reason, is cancelled at its engine, and makes Run return an error.
func TestStopGivesUp(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	engine.block, engine.blockAfter = make(chan struct{}), 2
	t.Cleanup(func() { close(engine.block) })
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	config := testSettings(controller.address)
	config.DrainTimeout = 200 * time.Millisecond
	gateway := startGateway(t, config)
	gateway.cut = true
	answer := openStream(t, gateway)
	gateway.stop()
	rest, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NotContains(t, string(rest), "[DONE]")
	require.Contains(t, string(rest), codeStopping)
	require.Equal(t, verdict.MayHaveRun.String(), answer.Trailer.Get(verdict.Trailer))
	require.Eventually(t, func() bool { _, _, cancels := engine.counts(); return cancels == 1 }, eventually, often)
}

// TestReadiness shows that a gateway becomes ready once a controller has sent a configuration,
// and that it is healthy before.
func TestReadiness(t *testing.T) {
	t.Parallel()
	controller := startController(t, pageBackEnd("p1", startPage(t, "p1", nil).Address()))
	controller.down.Store(true)
	gateway := startUnready(t, testSettings(controller.address))
	require.Equal(t, http.StatusOK, gateway.probe(t, metrics.PathHealth))
	require.Equal(t, http.StatusServiceUnavailable, gateway.probe(t, metrics.PathReady))
	refused := chat(t, gateway, "matching", unstreamedBody)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, verdict.NotRun.String(), refused.verdict)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	controller.down.Store(false)
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)
}

// TestLeavingBackEnds shows that a back end that the directory marks as leaving or changing, or no
// longer lists, gets no new requests after the next heartbeat.
func TestLeavingBackEnds(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(first, second *v1.BackEnd) []*v1.BackEnd{
		"leaving": func(first, second *v1.BackEnd) []*v1.BackEnd {
			first.State = v1.BackEndState_BACK_END_STATE_LEAVING
			return []*v1.BackEnd{first, second}
		},
		"changing": func(first, second *v1.BackEnd) []*v1.BackEnd {
			first.State = v1.BackEndState_BACK_END_STATE_CHANGING
			return []*v1.BackEnd{first, second}
		},
		"gone": func(_, second *v1.BackEnd) []*v1.BackEnd { return []*v1.BackEnd{second} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := startEngine(t), startEngine(t)
			rows := func() (one, two *v1.BackEnd) {
				return engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED), engineBackEnd("e2", second.address(), v1.Role_ROLE_MIXED)
			}
			one, two := rows()
			controller := startController(t, one, two)
			gateway := startGateway(t, testSettings(controller.address))
			one, two = rows()
			version := controller.replaceBackEnds(change(one, two)...)
			require.Eventually(t, func() bool { return controller.known.Load() >= version }, eventually, often)
			_, before, _ := first.counts()
			for range 30 {
				require.Equal(t, http.StatusOK, chat(t, gateway, "matching", unstreamedBody).status)
			}
			_, after, _ := first.counts()
			require.Equal(t, before, after)
		})
	}
}

// TestUnconfirmedBackEnds shows that a gateway without an answer from a controller sends no new requests to
// back ends whose entry has not been confirmed for routing.ConfirmationLimit, since they may
// have left, and that it continues once a controller answers.
func TestUnconfirmedBackEnds(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	require.Equal(t, http.StatusOK, chat(t, gateway, "matching", unstreamedBody).status)
	controller.down.Store(true)
	time.Sleep(routing.ConfirmationLimit + time.Second)
	_, before, _ := engine.counts()
	refused := chat(t, gateway, "matching", unstreamedBody)
	require.Equal(t, http.StatusServiceUnavailable, refused.status, refused.body)
	require.Equal(t, codeNoBackEnd, refused.errorCode)
	require.Equal(t, verdict.NotRun.String(), refused.verdict)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	_, after, _ := engine.counts()
	require.Equal(t, before, after)
	controller.down.Store(false)
	require.Eventually(t, func() bool { return chat(t, gateway, "matching", unstreamedBody).status == http.StatusOK }, eventually, often)
}
