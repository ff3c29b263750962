package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	eventually = time.Minute
	often      = 10 * time.Millisecond
)

// rawRequest returns a request as the bytes sent on a connection.
func rawRequest(method, path, kind, key, body string) string {
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", method, path, testKey, len(body))
	if kind != "" {
		request += HeaderKind + ": " + kind + "\r\n"
	}
	if key != "" {
		request += enginecontract.HeaderIdempotencyKey + ": " + key + "\r\n"
	}
	return request + "\r\n" + body
}

func dial(t *testing.T, gateway *testGateway, text string) net.Conn {
	connection, err := net.Dial("tcp", gateway.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = connection.Write([]byte(text))
	require.NoError(t, err)
	return connection
}

// TestCallerGone shows that a caller's disconnect cancels the request at the engine, at
// any point of the answer.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name string
		body string
		// blockAfter is the number of tokens that the engine writes before it blocks until the
		// end of the test; 0 blocks before the response header.
		blockAfter int
	}{
		{name: "streamed, before the first token", body: streamBody},
		{name: "streamed, after the first token", body: streamBody, blockAfter: 1},
		{name: "unstreamed, before the first token", body: unstreamedBody},
		{name: "unstreamed, in the middle", body: unstreamedBody, blockAfter: 3},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			engine := startEngine(t)
			engine.block, engine.blockAfter = make(chan struct{}), row.blockAfter
			defer close(engine.block)
			controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
			gateway := startGateway(t, testSettings(controller.address))
			connection := dial(t, gateway, rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", row.body))
			if row.blockAfter > 0 && row.body == streamBody {
				_, err := bufio.NewReader(connection).ReadString('}')
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { _, requests, _ := engine.counts(); return requests == 1 }, eventually, often)
			require.NoError(t, connection.Close())
			require.Eventually(t, func() bool { _, _, cancels := engine.counts(); return cancels == 1 }, eventually, often)
		})
	}
}

// waitUntilRunning waits until a service that delays its first answer has received the request.
func waitUntilRunning(t *testing.T, service *page.Service) {
	t.Helper()
	require.Eventually(t, func() bool { return service.Faults().StrikeCounts()[fault.Late] == 1 }, eventually, often)
}

// TestCallerGoneUnderClaim shows that a claimed request runs to its end after its
// caller disconnects, and that the caller's resend gets the recorded answer.
func TestCallerGoneUnderClaim(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", []fault.Fault{{Kind: fault.Late, Count: 1, DelayMs: 700}})
	engine := startEngine(t)
	engine.tokenTime = 100 * time.Millisecond
	controller := startController(t, pageBackEnd("p1", service.Address()), engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))

	registration := dial(t, gateway, rawRequest(http.MethodPost, "/registrations", "", "k1", "lot=7"))
	chat := dial(t, gateway, rawRequest(http.MethodPost, "/v1/chat/completions", "once", "k2", streamBody))
	_, err := bufio.NewReader(chat).ReadString('}')
	require.NoError(t, err)
	waitUntilRunning(t, service)
	require.NoError(t, chat.Close())
	require.NoError(t, registration.Close())
	require.Eventually(t, func() bool { return controller.outcomes() == 2 }, eventually, often)

	again := call(t, http.MethodPost, gateway.url+"/registrations", "lot=7", map[string]string{enginecontract.HeaderIdempotencyKey: "k1"})
	require.Equal(t, http.StatusOK, again.status)
	require.Equal(t, page.Receipt("/registrations", "k1", []byte("lot=7")), again.body)
	for _, body := range []string{streamBody, unstreamedBody} {
		answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", body,
			map[string]string{HeaderKind: "once", enginecontract.HeaderIdempotencyKey: "k2"})
		require.Equal(t, answerText, answer.text, answer.body)
		require.True(t, answer.isComplete)
		require.Equal(t, verdict.Ran.String(), answer.verdict)
	}
	runs, _, cancels := engine.counts()
	require.Equal(t, 1, runs)
	require.Zero(t, cancels)
	require.Equal(t, 1, service.Runs().Served)
}

// TestSlowCaller shows that a caller that does not read is disconnected and its request
// cancelled.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	engine.tokens = make([]string, 4000)
	for i := range engine.tokens {
		engine.tokens[i] = strings.Repeat("x", 4000)
	}
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	config := testSettings(controller.address)
	config.Limits.WriteTimeout = 200 * time.Millisecond
	gateway := startGateway(t, config)
	dial(t, gateway, rawRequest(http.MethodPost, "/v1/chat/completions", "matching", "", streamBody))
	require.Eventually(t, func() bool { _, _, cancels := engine.counts(); return cancels == 1 }, eventually, often)
}

// TestStoppedWatchInterruptsNothing shows that a check of the callers' connections that started before a
// claimed request acquired its claim does not interrupt the request afterwards.
func TestStoppedWatchInterruptsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", ownAddress())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	for name, ended := range map[string]bool{"watched": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			callers, interrupter := newCallerWatcher(), &upstream.Interrupter{}
			watch := callers.watch(connection, interrupter)
			looked := callers.list()
			require.Len(t, looked, 1)
			if ended {
				watch.stop()
			}
			looked[0].interrupt(errCallerGone)
			require.Equal(t, !ended, interrupter.Interrupted())
		})
	}
}
