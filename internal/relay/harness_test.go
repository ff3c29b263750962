package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/bootclock"
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/datagramloss"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// testDialect uses its own names, since the relay must not depend on the names of any deployment.
func testDialect() Dialect {
	return Dialect{
		Headers: HeaderNames{
			RequestID: "T-Id", DeadlineMs: "T-Deadline", PromptParts: "T-Parts", Model: "T-Model", Tokens: "T-Tokens",
			LastEventID: "T-Last", Resumes: "T-Resumes", Seal: "T-Seal", ExpectInstance: "T-Expect", Load: "T-Load", NotExecuted: "T-Not-Run", Leaving: "T-Leaving", Limit: "T-Limit",
			Priority: "T-Rank", Stage: "T-Stage", KVSource: "T-Source", KVFetch: "T-Fetch", EngineOnly: []string{"T-Pin"},
			Tenant: "T-Tenant", Authorization: "T-Key",
		},
		ParseKey:           func(value string) (string, bool) { return strings.CutPrefix(value, "key ") },
		PrefillStage:       "read",
		ReadyPath:          "/ready",
		HandlePath:         func(handle string) string { return "/handle/" + handle },
		ParsePrefillAnswer: parseTestPrefill,
		MovePath:           "/move",
		MoveBody: func(request, address string, stop bool) []byte {
			return fmt.Appendf(nil, "%s %s %t", request, address, stop)
		},
		ParseMoveAnswer: func(body []byte) string { return string(body) },
		ReportPath:      "/report",
		ParseReport:     func(body []byte) (int64, error) { return strconv.ParseInt(string(body), 10, 64) },
	}
}

// parseTestPrefill parses "HANDLE" or "HANDLE BORN".
func parseTestPrefill(body []byte) (PrefillAnswer, error) {
	handle, startedText, _ := strings.Cut(string(body), " ")
	startedAtMs, _ := strconv.ParseInt(startedText, 10, 64)
	return PrefillAnswer{Handle: handle, StartedAtMs: startedAtMs}, nil
}

// backEndRequest is one request as a back end received it.
type backEndRequest struct {
	line   string
	head   *fasthttp.RequestHeader
	body   string
	number int // of the request on its connection, from 1
}

// script answers requests of one back end on the raw connection. It returns false when the connection must be closed.
type script func(connection net.Conn, request backEndRequest) bool

// scriptedBackEnd is a back end that answers according to a script.
type scriptedBackEnd struct {
	entry    serving.BackEnd
	mutex    sync.Mutex
	requests []backEndRequest
	// closed counts connections that the relay has closed.
	closed int
}

func (b *scriptedBackEnd) receivedRequests() []backEndRequest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]backEndRequest(nil), b.requests...)
}

func startBackEnd(t *testing.T, id string, stage serving.Stage, answer script) *scriptedBackEnd {
	t.Helper()
	return serveBackEnd(t, id, stage, func(net.Listener) script { return answer })
}

// serveBackEnd starts a back end whose script has access to its listener.
func serveBackEnd(t *testing.T, id string, stage serving.Stage, scriptOf func(net.Listener) script) *scriptedBackEnd {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveBackEndAt(t, id, stage, listener, scriptOf(listener))
}

// serveBackEndAt starts a back end at a listener.
func serveBackEndAt(t *testing.T, id string, stage serving.Stage, listener net.Listener, answer script) *scriptedBackEnd {
	t.Helper()
	t.Cleanup(func() { _ = listener.Close() })
	backEnd := &scriptedBackEnd{entry: serving.BackEnd{
		ID: id, Service: "service", Address: listener.Addr().String(), Zone: "zone", Slots: 8, Stage: stage, Software: "v1",
	}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go backEnd.serve(connection, answer)
		}
	}()
	return backEnd
}

func (b *scriptedBackEnd) serve(connection net.Conn, answer script) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		head := &fasthttp.RequestHeader{}
		if err := head.Read(reader); err != nil {
			b.mutex.Lock()
			b.closed++
			b.mutex.Unlock()
			return
		}
		body := make([]byte, max(head.ContentLength(), 0))
		request := backEndRequest{line: string(head.Method()) + " " + string(head.RequestURI()), head: head, number: number}
		if string(head.Peek("T-Early")) == "" {
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
		}
		request.body = string(body)
		recorded := request
		recorded.head = &fasthttp.RequestHeader{} // reading a header modifies it, so the script gets its own copy
		head.CopyTo(recorded.head)
		b.mutex.Lock()
		b.requests = append(b.requests, recorded)
		b.mutex.Unlock()
		if !answer(connection, request) {
			return
		}
	}
}

// writeAnswer writes a complete answer with a seal.
func writeAnswer(connection net.Conn, request backEndRequest, status int, body string, headers ...string) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Seal: seal\r\nContent-Length: %d\r\n", status, request.head.Peek("T-Id"), len(body))
	for _, header := range headers {
		head += header + "\r\n"
	}
	_, _ = io.WriteString(connection, head+"\r\n"+body)
}

// answering returns a script that always sends the same answer.
func answering(status int, body string, headers ...string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		writeAnswer(connection, request, status, body, headers...)
		return true
	}
}

// refusing returns a script that answers that the request was not run.
func refusing(status int) script {
	return answering(status, "", "T-Not-Run: 1")
}

// writing returns a script that writes raw bytes and closes the connection; ID in the bytes is replaced by the request's
// identity.
func writing(raw string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.ReplaceAll(raw, "ID", string(request.head.Peek("T-Id"))))
		return false
	}
}

// keepingAfter returns a script that keeps the connection open after another script.
func keepingAfter(answer script) script {
	return func(connection net.Conn, request backEndRequest) bool {
		answer(connection, request)
		return true
	}
}

// resetting returns a script that writes raw bytes and resets the connection.
func resetting(raw string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.ReplaceAll(raw, "ID", string(request.head.Peek("T-Id"))))
		time.Sleep(5 * time.Millisecond) // a reset would discard bytes that have not arrived yet
		_ = connection.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// testRelay is a relay with a fixed view, and its address.
type testRelay struct {
	*Relay
	address string
	// suspendedFor is how long the relay's machine was suspended, in nanoseconds.
	suspendedFor *atomic.Int64
	// reservedListener is a listener at the address of the relay's datagrams, which linkRelays serves.
	reservedListener net.Listener
}

// route returns a route for /path/ on the host named test.
func route(change func(*serving.Route)) serving.Route {
	result := serving.Route{
		Name: "route", Host: "test", Prefix: "/path/", Kind: serving.KindUnsafe, Timeout: 5 * time.Second,
		Target: 500 * time.Millisecond, MaxAttempts: 2, Splits: []serving.Split{{Service: "service", Weight: 1}},
	}
	if change != nil {
		change(&result)
	}
	return result
}

func newTestRelay(t *testing.T, config serving.Route, backEnds ...*scriptedBackEnd) *testRelay {
	t.Helper()
	return newKeyedRelay(t, config, nil, backEnds...)
}

// newKeyedRelay starts a test relay. When tenants are given, clients are identified by their keys.
func newKeyedRelay(t *testing.T, routeConfig serving.Route, tenants []serving.Tenant, backEnds ...*scriptedBackEnd) *testRelay {
	t.Helper()
	config := settings.Relay{
		Name: "relay", Zone: "zone", GracePeriod: time.Second,
		RetryBudget: settings.RetryBudget{Ratio: 1, Window: 10 * time.Second, Slack: 1000},
	}
	relay := newRelay(config, Options{
		Dialect: testDialect(), Log: logring.New("relay", settings.Log{RingEntries: 64}),
		Dial: (&net.Dialer{}).DialContext, DialControllers: (&net.Dialer{}).DialContext,
	})
	suspendedFor := &atomic.Int64{}
	relay.clock.steady = bootclock.NewWithSuspension(0, func() time.Duration { return time.Duration(suspendedFor.Load()) })
	relay.exchanger.clock = relay.clock
	socket, forwardListener := listenForRelays(t)
	relay.initPeers(socket)
	origin := relay.originsConfig()
	origin.ReadStatement = func(context.Context) *v1.VersionStatement { return statementOf(backEnds) }
	relay.origins = origins.New(origin)
	relay.setRelays([]string{relay.datagrams.Address}, nil)
	go relay.datagrams.Receive(relay.handleDatagram)
	relay.budget.SetRelays(1)
	go relay.origins.Run(t.Context())
	go relay.closeUnusableConnections(t.Context())
	relay.lastContactAt.Store(int64(relay.clock.now()))
	relay.configurationHeardAt.Store(int64(relay.clock.now()))
	service := serving.Service{Name: "service"}
	for _, backEnd := range backEnds {
		if backEnd.entry.Stage != serving.StageWhole {
			service.Engine = &serving.Engine{Slots: 8, CacheTokens: 100_000, Movable: true}
		}
	}
	configuration := serving.Configuration{Number: 1, Routes: []serving.Route{routeConfig}, Services: []serving.Service{service}, RequireKeys: len(tenants) > 0, Tenants: tenants}
	require.NoError(t, configuration.Check())
	next := &view{table: serving.NewTable(&configuration), byService: map[string][]*backEnd{}}
	entries := make([]serving.BackEnd, 0, len(backEnds))
	for _, backEnd := range backEnds {
		entries = append(entries, backEnd.entry)
	}
	relay.applyRouteServices(next.table)
	relay.fleet.applyListing(entries, next)
	relay.view.Store(next)
	relay.origins.ApplyStatement(statementOf(backEnds))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = relay.accept(ctx, listener) }()
	t.Cleanup(func() { cancel(); _ = listener.Close(); _ = socket.Close() })
	return &testRelay{Relay: relay, address: listener.Addr().String(), suspendedFor: suspendedFor, reservedListener: forwardListener}
}

// relayNetwork carries the datagrams between all test relays. Tests lose some by the addresses of their own relays.
var relayNetwork datagramloss.Network

// statementOf returns the statement of a leader under which these back ends alone have served for long.
func statementOf(backEnds []*scriptedBackEnd) *v1.VersionStatement {
	statement := &v1.VersionStatement{CompleteMs: uint64(streamorigin.MaxLifetime.Milliseconds())}
	isStated := map[[2]string]bool{}
	for _, backEnd := range backEnds {
		service, software := backEnd.entry.Service, backEnd.entry.Software
		if key := [2]string{service, software}; !isStated[key] {
			isStated[key] = true
			statement.Versions = append(statement.Versions, &v1.StatedVersion{Service: service, Software: software})
		}
	}
	return statement
}

// listenForRelays opens a socket for datagrams and a listener for forwarded requests at the same address.
func listenForRelays(t *testing.T) (net.PacketConn, net.Listener) {
	t.Helper()
	const maxTries = 100 // other tests may use the TCP port
	for range maxTries {
		socket, err := relayNetwork.Listen("udp", "127.0.0.1:0")
		require.NoError(t, err)
		listener, err := net.Listen("tcp", socket.LocalAddr().String())
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return socket, listener
		}
		require.NoError(t, socket.Close())
	}
	require.Fail(t, "no port is free for TCP and UDP")
	return nil, nil
}

// clientAnswer is an answer as a client received it.
type clientAnswer struct {
	status int
	head   *fasthttp.ResponseHeader
	body   string
	// isComplete is true if the body was received up to its declared end; end is what the client can tell of the end.
	isComplete bool
	end        framing.End
}

// testClient is one connection of a client.
type testClient struct {
	t          *testing.T
	connection net.Conn
	reader     *bufio.Reader
	sent       int
}

func (r *testRelay) client(t *testing.T) *testClient {
	t.Helper()
	connection, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &testClient{t: t, connection: connection, reader: bufio.NewReader(connection)}
}

// send sends a request with additional header lines and a body.
func (c *testClient) send(method, target, body string, headers ...string) {
	c.t.Helper()
	c.sent++
	message := method + " " + target + " HTTP/1.1\r\nHost: test\r\nT-Id: id-" + strconv.Itoa(c.sent) + "\r\n"
	if body != "" {
		message += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	for _, header := range headers {
		message += header + "\r\n"
	}
	_, err := io.WriteString(c.connection, message+"\r\n"+body)
	require.NoError(c.t, err)
}

// read reads a complete answer.
func (c *testClient) read() clientAnswer {
	c.t.Helper()
	head := &fasthttp.ResponseHeader{}
	declared, err := answerhead.Read(head, c.reader)
	require.NoError(c.t, err)
	framed := framing.NewAnswerBody(declared, "", c.reader, nil)
	body, err := io.ReadAll(framed)
	return clientAnswer{status: head.StatusCode(), head: head, body: string(body), isComplete: err == nil && framed.End() == framing.Declared, end: framed.End()}
}

func (c *testClient) do(method, target, body string, headers ...string) clientAnswer {
	c.t.Helper()
	c.send(method, target, body, headers...)
	return c.read()
}

// readHead parses and checks a head as the relay does; it returns nil for a head that the relay refuses.
func readHead(relay *Relay, text string) *fasthttp.RequestHeader {
	head := &fasthttp.RequestHeader{}
	if head.Read(bufio.NewReader(strings.NewReader(text))) != nil || relay.checkHead(head) != nil {
		return nil
	}
	return head
}
