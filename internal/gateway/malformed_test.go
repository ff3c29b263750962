package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	lineEnd = "\r\n"
	// smuggled is a second request hidden behind the first one. No row may
	// run it.
	smuggled = "POST /registrations HTTP/1.1" + lineEnd + "Host: gateway" + lineEnd + "Authorization: Bearer " + testKey + lineEnd +
		"Content-Length: 0" + lineEnd + lineEnd
)

// malformedRow is a request that two parsers could interpret differently, or that exceeds
// the size limits.
type malformedRow struct {
	name string
	// line and headers form the request; the test adds the API key and the Host header.
	line    string
	headers string
	body    string
	status  int
	// noHost means that the test adds no Host header.
	noHost bool
}

var malformedRows = []malformedRow{
	{name: "length and transfer encoding", headers: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", body: "0\r\n\r\n" + smuggled, status: 400},
	{name: "two lengths that differ", headers: "Content-Length: 0\r\nContent-Length: 200\r\n", body: smuggled, status: 400},
	{name: "two lengths that agree", headers: "Content-Length: 0\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "a list of lengths", headers: "Content-Length: 0, 0\r\n", body: smuggled, status: 400},
	{name: "negative length", headers: "Content-Length: -1\r\n", body: smuggled, status: 400},
	{name: "signed length", headers: "Content-Length: +0\r\n", body: smuggled, status: 400},
	{name: "hexadecimal length", headers: "Content-Length: 0x0\r\n", body: smuggled, status: 400},
	{name: "length beyond numbers", headers: "Content-Length: 99999999999999999999\r\n", body: smuggled, status: 400},
	{name: "transfer encoding twice", headers: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", body: "0\r\n\r\n" + smuggled, status: 400},
	{name: "unknown transfer encoding", headers: "Transfer-Encoding: xchunked\r\n", body: "0\r\n\r\n" + smuggled, status: 400},
	{name: "transfer encoding in a list", headers: "Transfer-Encoding: identity, chunked\r\n", body: "0\r\n\r\n" + smuggled, status: 400},
	{name: "space before the colon", headers: "Transfer-Encoding : chunked\r\n", body: "0\r\n\r\n" + smuggled, status: 400},
	{name: "space in a header name", headers: "X Y: z\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "folded header", headers: "X-A: b\r\n c: d\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "NUL in a header", headers: "X-A: b\x00c\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "bare CR in a header", headers: "X-A: b\rContent-Length: 5\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "bad chunk size", headers: "Transfer-Encoding: chunked\r\n", body: "zz\r\nabc\r\n0\r\n\r\n" + smuggled, status: 400},
	{name: "signed chunk size", headers: "Transfer-Encoding: chunked\r\n", body: "-1\r\n\r\n0\r\n\r\n" + smuggled, status: 400},
	{name: "chunk without its end", headers: "Transfer-Encoding: chunked\r\n", body: "1\r\nabc\r\n0\r\n\r\n" + smuggled, status: 400},
	{name: "no host", headers: "Content-Length: 0\r\n", body: smuggled, status: 400, noHost: true},
	{name: "two hosts", headers: "Host: other\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "two keys", headers: "Authorization: Bearer " + otherTestKey + "\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "two idempotency keys", headers: "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "unprintable idempotency key", headers: "Idempotency-Key: a\tb\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "long idempotency key", headers: "Idempotency-Key: " + strings.Repeat("k", 129) + "\r\nContent-Length: 0\r\n", body: smuggled, status: 400},
	{name: "no protocol version", line: "POST /registrations", headers: "Content-Length: 0\r\n", body: smuggled, status: 400},
	{name: "headers too large", headers: "X-A: " + strings.Repeat("a", 20<<10) + "\r\nContent-Length: 0\r\n", body: smuggled, status: 431},
	{name: "body too large", headers: "Content-Length: 2000000\r\n", body: smuggled, status: 413},
	{name: "chunked body too large", headers: "Transfer-Encoding: chunked\r\n", body: "1e8480\r\n" + strings.Repeat("a", 2000000) + "\r\n0\r\n\r\n", status: 413},
	{name: "encoded slash in the path", line: "POST /registrations%2f..%2flots HTTP/1.1", headers: "Content-Length: 0\r\n", status: 400},
	{name: "encoded line end in the path", line: "POST /registrations%0d%0aX-A:b HTTP/1.1", headers: "Content-Length: 0\r\n", status: 400},
	{name: "dots in the path", line: "POST /lots/../registrations HTTP/1.1", headers: "Content-Length: 0\r\n", status: 400},
}

// TestMalformed shows that ambiguous requests are refused as not run, that the
// connection is closed, and that no part of them reaches a back end.
func TestMalformed(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", nil)
	controller := startController(t, pageBackEnd("p1", service.Address()))
	gateway := startGateway(t, testSettings(controller.address))
	for _, row := range malformedRows {
		t.Run(row.name, func(t *testing.T) {
			row.check(t, gateway)
			require.Zero(t, service.Runs().Served)
		})
	}
}

func (row malformedRow) check(t *testing.T, gateway *testGateway) {
	line := row.line
	if line == "" {
		line = "POST /registrations HTTP/1.1"
	}
	text := line + lineEnd + "Authorization: Bearer " + testKey + lineEnd
	if !row.noHost {
		text += "Host: gateway" + lineEnd
	}
	connection := dial(t, gateway, "")
	go func() {
		// The gateway may close the connection before it has read everything.
		_, _ = io.WriteString(connection, text+row.headers+lineEnd+row.body)
	}()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(eventually)))
	reader := bufio.NewReader(connection)
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, row.status, answer.StatusCode, string(body))
	require.Equal(t, verdict.NotRun.String(), answer.Header.Get(verdict.Header))
	if row.body == "" {
		return // the request was read completely, so that the connection may stay open
	}
	_, err = http.ReadResponse(reader, nil)
	require.Error(t, err, "the hidden request was answered")
}

// TestSlowSender shows that a caller that sends its request byte by byte is disconnected.
func TestSlowSender(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", nil)
	controller := startController(t, pageBackEnd("p1", service.Address()))
	config := testSettings(controller.address)
	config.Limits.ReadTimeout = 200 * time.Millisecond
	gateway := startGateway(t, config)
	for name, part := range map[string]string{
		"in the headers": "POST /registrations HTTP/1.1\r\nHost: gateway\r\nX-A: ",
		"in the body":    "POST /registrations HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 100\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			connection := dial(t, gateway, part)
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(eventually)))
			answer, err := io.ReadAll(connection)
			require.NoError(t, err, "the gateway must close the connection")
			if len(answer) > 0 {
				require.Contains(t, string(answer), verdict.NotRun.String())
			}
			require.Zero(t, service.Runs().Served)
		})
	}
}

// TestCallerHeadersStay shows that a caller cannot set headers that only a gateway may send to engines.
func TestCallerHeadersStay(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	forged := map[string]string{HeaderKind: "matching"}
	for _, name := range []string{
		enginecontract.HeaderExchange, enginecontract.HeaderPriority, enginecontract.HeaderCacheSalt, enginecontract.HeaderDeadline,
		enginecontract.HeaderContinueFrom, enginecontract.HeaderKVHandle, enginecontract.HeaderKVSource, enginecontract.HeaderPrefillOnly,
		"X-Forwarded-For", "Cookie",
	} {
		forged[name] = "77"
	}
	answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", unstreamedBody, forged)
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	received := engine.requests[0].Header
	for name := range forged {
		require.NotEqual(t, "77", received.Get(name), name)
	}
	require.Equal(t, "salt-one", received.Get(enginecontract.HeaderCacheSalt))
	require.Equal(t, "7", received.Get(enginecontract.HeaderPriority))
	require.Empty(t, received.Get("Authorization"))
	require.NotContains(t, fmt.Sprint(received), testKey)
}
