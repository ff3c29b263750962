package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// stopTime is the drain_timeout of the gateways that stop in these tests.
const stopTime = 2 * time.Second

// stoppableRequest is a request whose back end never answers.
type stoppableRequest struct {
	method, path, kind, key, body string
}

func stoppableRequests() map[string]stoppableRequest {
	const chatPath = "/v1/chat/completions"
	return map[string]stoppableRequest{
		"repeatable page":               {http.MethodGet, "/lots/7", "", "", "x"},
		"page":                          {http.MethodPost, "/registrations", "", "", "x"},
		"claimed page":                  {http.MethodPost, "/registrations", "", "key-1", "x"},
		"chat":                          {http.MethodPost, chatPath, "once", "", unstreamedBody},
		"claimed chat":                  {http.MethodPost, chatPath, "once", "key-1", unstreamedBody},
		"stream before its first event": {http.MethodPost, chatPath, "once", "", streamBody},
		"claimed stream":                {http.MethodPost, chatPath, "once", "key-1", streamBody},
	}
}

// startSilentBackEnds starts a gateway with back ends that read requests and never answer them. It returns the number of requests that
// they have got.
func startSilentBackEnds(t *testing.T) (gateway *testGateway, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	silent := func(net.Conn, string) {
		received.Add(1)
		<-end
	}
	controller := startController(t, pageBackEnd("p1", startRaw(t, silent)), engineBackEnd("e1", startRaw(t, silent), v1.Role_ROLE_MIXED))
	config := testSettings(controller.address)
	config.DrainTimeout = stopTime
	gateway = startGateway(t, config)
	gateway.cut = true
	return gateway, received
}

// send sends a request, whose last byte it holds back until it is told to go on.
func (r stoppableRequest) send(t *testing.T, gateway *testGateway, goOn func()) (*http.Response, error) {
	t.Helper()
	connection, err := net.Dial("tcp", gateway.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	headers := ""
	if r.kind != "" {
		headers += HeaderKind + ": " + r.kind + "\r\n"
	}
	if r.key != "" {
		headers += "Idempotency-Key: " + r.key + "\r\n"
	}
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.path, testKey, headers, len(r.body), r.body[:len(r.body)-1])
	require.NoError(t, err)
	goOn()
	_, err = io.WriteString(connection, r.body[len(r.body)-1:])
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(time.Minute)))
	return http.ReadResponse(bufio.NewReader(connection), nil)
}

// Guards against requests that are cut without an answer at the end of a planned stop.
func TestRequestsAreAnsweredBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	for name, request := range stoppableRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway, received := startSilentBackEnds(t)
			stopped := make(chan struct{})
			go func() {
				require.Eventually(t, func() bool { return received.Load() > 0 }, eventually, often)
				gateway.stop()
				close(stopped)
			}()
			answer, err := request.send(t, gateway, func() {})
			<-stopped
			require.NoError(t, err, "cut without an answer")
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, string(body))
			require.Contains(t, string(body), codeStopping)
			require.Equal(t, verdict.MayHaveRun.String(), answer.Header.Get(verdict.Header))
		})
	}
}

// Guards against requests that come late in a planned stop, and are passed on though there is no time for them.
func TestLateRequestsAreRefusedByAStoppingGateway(t *testing.T) {
	t.Parallel()
	for name, request := range stoppableRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway, received := startSilentBackEnds(t)
			gateway.cut = false
			answer, err := request.send(t, gateway, func() {
				gateway.stop()
				time.Sleep(stopTime * 7 / 10)
			})
			require.NoError(t, err, "cut without an answer")
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, string(body))
			require.Contains(t, string(body), codeStopping)
			require.True(t, answer.Close)
			require.NotEmpty(t, answer.Header.Get("Retry-After"))
			require.Equal(t, strings.Contains(name, "claimed"), answer.Header.Get(verdict.Header) != verdict.NotRun.String(), "an earlier attempt with the key may have run")
			require.Zero(t, received.Load())
		})
	}
}

// Guards against a request that reaches another back end at the end of a planned stop, since the first one has refused it so late: the
// stop would interrupt it there.
func TestNoBackEndGetsARequestAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	for name, request := range stoppableRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			refuseLate := make(chan struct{})
			refusing := func(connection net.Conn, exchange string) {
				received.Add(1)
				<-refuseLate
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					enginecontract.HeaderExchange, exchange, enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
			}
			var backEnds []*v1.BackEnd
			for number := range 2 {
				backEnds = append(backEnds, pageBackEnd(fmt.Sprint("p", number), startRaw(t, refusing)), engineBackEnd(fmt.Sprint("e", number), startRaw(t, refusing), v1.Role_ROLE_MIXED))
			}
			config := testSettings(startController(t, backEnds...).address)
			config.DrainTimeout = stopTime
			gateway := startGateway(t, config)
			go func() {
				require.Eventually(t, func() bool { return received.Load() > 0 }, eventually, often)
				gateway.stop()
				time.Sleep(stopTime * 85 / 100)
				close(refuseLate)
			}()
			answer, err := request.send(t, gateway, func() {})
			require.NoError(t, err, "cut without an answer")
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, string(body))
			require.Contains(t, string(body), codeStopping)
			require.Equal(t, verdict.NotRun.String(), answer.Header.Get(verdict.Header))
			require.EqualValues(t, 1, received.Load())
		})
	}
}
