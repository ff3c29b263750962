package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/retrybudget"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

func safe(route *serving.Route) { route.Kind = serving.KindSafe }

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(201, "body", "Custom: kept", "Keep-Alive: timeout=9"))
	relay := newTestRelay(t, route(nil), backEnd)
	client := relay.client(t)
	answer := client.do("POST", "/path/a%2Fb?q=1&r", "payload", "Custom: own", "Connection: keep-alive, Hop", "Hop: dropped",
		"T-Deadline: 900", "T-Stage: read", "T-Source: 1.2.3.4:5/x", "T-Pin: 9", "T-Rank: 0")
	require.Equal(t, 201, answer.status)
	require.Equal(t, "body", answer.body)
	require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
	require.Equal(t, "id-1", string(answer.head.Peek("T-Id")))
	require.Equal(t, "kept", string(answer.head.Peek("Custom")))
	require.Empty(t, answer.head.Peek("Keep-Alive"))

	request := backEnd.receivedRequests()[0]
	require.Equal(t, "POST /path/a%2Fb?q=1&r", request.line)
	require.Equal(t, "payload", request.body)
	require.Equal(t, "own", string(request.head.Peek("Custom")))
	require.Equal(t, "one", string(request.head.Peek("T-Expect")))
	for _, dropped := range []string{"Hop", "T-Stage", "T-Source", "T-Pin", "T-Rank"} {
		require.Empty(t, request.head.Peek(dropped), dropped)
	}
	var left int
	_, err := fmt.Sscan(string(request.head.Peek("T-Deadline")), &left)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 900)
}

func TestChunkedRequestBodyIsForwarded(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	client := newTestRelay(t, route(nil), backEnd).client(t)
	_, err := io.WriteString(client.connection, "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, 200, client.read().status)
	require.Equal(t, "abcde", backEnd.receivedRequests()[0].body)
	require.Equal(t, 200, client.do("GET", "/path/", "").status, "the connection can be used further")
}

const brokenHead = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n"

// faults are the faults of a back end, with the status that the client receives for a request that must not be repeated
// (unsafe) and for one that may be repeated (safe).
var faults = map[string]struct {
	first  script
	unsafe int
	safe   int
}{
	"refused before running":       {refusing(503), 200, 200},
	"another back end's address":   {answering(421, ""), 200, 200},
	"reset without an answer":      {resetting(""), 502, 200},
	"closed without an answer":     {writing(""), 502, 200},
	"closed within the head":       {writing("HTTP/1.1 200 OK\r\nT-Id"), 502, 200},
	"body shorter than declared":   {writing(brokenHead + "Content-Length: 9\r\n\r\nshort"), 502, 200},
	"chunks without an end":        {writing(brokenHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 502, 200},
	"unframed body cut by a reset": {resetting(brokenHead + "\r\nabc"), 502, 200},
	"bytes that are not HTTP":      {writing("\x00\x01garbage\r\n\r\n"), 502, 200},
	"answer to another request":    {writing("HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 1\r\n\r\nx"), 502, 200},
	"answer without an identity":   {writing("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), 502, 200},
	"encoded answer":               {writing(brokenHead + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"), 502, 200},
	"error of the back end":        {answering(500, "failed"), 500, 200},
	"timeout of the back end":      {answering(504, "late"), 504, 200},
}

func TestFaultsOfBackEnds(t *testing.T) {
	for name, fault := range faults {
		for kind, want := range map[serving.Kind]int{serving.KindUnsafe: fault.unsafe, serving.KindSafe: fault.safe} {
			t.Run(fmt.Sprintf("%s, kind %d", name, kind), func(t *testing.T) {
				first := startBackEnd(t, "first", serving.StageWhole, fault.first)
				second := startBackEnd(t, "second", serving.StageWhole, answering(200, "whole"))
				relay := newTestRelay(t, route(func(r *serving.Route) { r.Kind = kind }), first, second)
				relay.view.Load().byService["service"][1].addWork(placement.Work{Streams: 5}) // so that the first one is selected first
				answer := relay.client(t).do("POST", "/path/", "x")
				require.Equal(t, want, answer.status)
				require.True(t, answer.isComplete)
				runs := len(second.receivedRequests())
				if kind == serving.KindUnsafe && want != 200 {
					require.Zero(t, runs, "a request that may have run must not be run again")
				}
				if want == 200 {
					require.Equal(t, "whole", answer.body)
				}
				if want == 502 {
					require.Empty(t, answer.head.Peek("T-Seal"))
				}
			})
		}
	}
}

func TestUnframedAnswerIsForwardedWhenItsConnectionCloses(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, writing(brokenHead+"\r\nabc"))
	answer := newTestRelay(t, route(nil), backEnd).client(t).do("GET", "/path/", "")
	require.Equal(t, 200, answer.status)
	require.Equal(t, "abc", answer.body)
	require.False(t, answer.isComplete)
}

func TestNotRunIsToldOnlyWhenCertain(t *testing.T) {
	refused := startBackEnd(t, "one", serving.StageWhole, refusing(503))
	client := newTestRelay(t, route(func(r *serving.Route) { r.MaxAttempts = 1 }), refused).client(t)
	answer := client.do("POST", "/path/", "x")
	require.Equal(t, 503, answer.status)
	require.NotEmpty(t, answer.head.Peek("Retry-After"))
	require.Len(t, refused.receivedRequests(), 1)
}

// Guards against taking a second answer to an earlier request for the answer to the next request on the connection.
func TestSurplusAnswerIsSkipped(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		if request.number == 2 {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Seal: seal\r\nContent-Length: 3\r\n\r\nold")
		}
		writeAnswer(connection, request, 200, "answer "+string(request.head.Peek("T-Id")))
		return true
	})
	client := newTestRelay(t, route(nil), backEnd).client(t)
	require.Equal(t, "answer id-1", client.do("GET", "/path/", "").body)
	require.Equal(t, "answer id-2", client.do("GET", "/path/", "").body)
	require.Equal(t, "answer id-3", client.do("GET", "/path/", "").body)
}

// Bytes that follow an answer belong to no request, so the connection must not be reused.
func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		id := string(request.head.Peek("T-Id"))
		whole := "HTTP/1.1 200 OK\r\nT-Id: " + id + "\r\nT-Seal: seal\r\nContent-Length: 4\r\n\r\n" + id
		_, _ = io.WriteString(connection, whole+whole)
		return true
	})
	client := newTestRelay(t, route(nil), backEnd).client(t)
	for number := 1; number <= 3; number++ {
		require.Equal(t, fmt.Sprint("id-", number), client.do("GET", "/path/", "").body)
	}
	for _, request := range backEnd.receivedRequests() {
		require.Equal(t, 1, request.number)
	}
}

// A back end answers before it has read a long body. Its answer is forwarded, and the connection, on which the rest of the
// body would have to be sent, is not reused.
func TestEarlyAnswerToALongBody(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		writeAnswer(connection, request, 413, "too long")
		time.Sleep(20 * time.Millisecond) // meanwhile the relay must discard the connection
		return false
	})
	client := newTestRelay(t, route(nil), backEnd).client(t)
	answer := client.do("POST", "/path/", strings.Repeat("x", 3<<20), "T-Early: 1")
	require.Equal(t, 413, answer.status)
	require.Equal(t, "too long", answer.body)
	require.Len(t, backEnd.receivedRequests(), 1)
}

func TestDeadlineBringsAFinalAnswer(t *testing.T) {
	silent := startBackEnd(t, "one", serving.StageWhole, func(net.Conn, backEndRequest) bool { select {} })
	relay := newTestRelay(t, route(func(r *serving.Route) { r.Timeout = 50 * time.Millisecond }), silent)
	answer := relay.client(t).do("POST", "/path/", "x")
	require.Equal(t, 504, answer.status)
}

func TestClientThatLeavesCancelsTheExchange(t *testing.T) {
	silent := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, _ backEndRequest) bool {
		_, err := connection.Read(make([]byte, 1))
		return err == nil
	})
	relay := newTestRelay(t, route(nil), silent)
	client := relay.client(t)
	client.send("GET", "/path/", "")
	require.Eventually(t, func() bool { return len(silent.receivedRequests()) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, client.connection.Close())
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	require.Len(t, silent.receivedRequests(), 1, "the request must not be sent again")
}

func TestOwnRefusals(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	require.Equal(t, 404, relay.client(t).do("GET", "/elsewhere/", "").status)
	relay.lastContactAt.Store(int64(relay.clock.now() - 2*relay.maxContactAge()))
	require.Equal(t, 503, relay.client(t).do("GET", "/elsewhere/", "").status, "an old configuration cannot prove that there is no route")
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	require.Equal(t, 503, relay.client(t).do("GET", "/path/", "").status)
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(nil), backEnd)
	const start = "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\n"
	for name, message := range map[string]string{
		"two lengths":        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length and chunks":  start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown encoding":   start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"folded header":      start + "A: b\r\n c\r\n\r\n",
		"space before colon": start + "Content-Length : 5\r\n\r\nhello",
		"two identities":     start + "T-Id: y\r\n\r\n",
		"an older version":   "GET /path/ HTTP/1.0\r\nHost: test\r\nT-Id: x\r\n\r\n",
		"no identity":        "GET /path/ HTTP/1.1\r\nHost: test\r\n\r\n",
		"an absolute target": "GET http://test/path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\n\r\n",
	} {
		client := relay.client(t)
		_, err := io.WriteString(client.connection, message)
		require.NoError(t, err, name)
		require.Equal(t, 400, client.read().status, name)
	}
	require.Empty(t, backEnd.receivedRequests())
}

func TestRetryBudgetEndsRepeating(t *testing.T) {
	failing := []*scriptedBackEnd{
		startBackEnd(t, "one", serving.StageWhole, answering(500, "failed")),
		startBackEnd(t, "two", serving.StageWhole, answering(500, "failed")),
	}
	relay := newTestRelay(t, route(safe), failing...)
	relay.budget.SetBounds(0, 10*time.Second, 10)
	client := relay.client(t)
	for range 20 {
		answer := client.do("GET", "/path/", "")
		require.Equal(t, 500, answer.status)
		require.Equal(t, "seal", string(answer.head.Peek("T-Seal")), "the back end's error answer is forwarded")
	}
	require.Equal(t, 20+int(10*retrybudget.SlackShare), len(failing[0].receivedRequests())+len(failing[1].receivedRequests()))
}

// A head of the largest size that the operator allows is accepted.
func TestHeadOfTheLargestAllowedSizeIsAccepted(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	client := newTestRelay(t, route(nil), backEnd).client(t)
	large := "Large: " + strings.Repeat("x", clientBufferBytes-200)
	// The scripted back end has a smaller read buffer; the test checks only that the relay does not refuse the head.
	client.send("GET", "/path/"+strings.Repeat("p", 1000), "", large)
	require.NotEqual(t, 431, client.read().status)
}

// A back end that refuses a request keeps the connection open, and the relay reuses it. Guards against closing a connection
// that was returned to the pool while the next request uses it.
func TestConnectionOfARefusedRequestIsUsedAgain(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, refusing(503))
	relay := newTestRelay(t, route(func(r *serving.Route) { r.MaxAttempts = 1 }), backEnd)
	client := relay.client(t)
	for range 3 {
		require.Equal(t, 503, client.do("POST", "/path/", "x").status)
	}
	seen := backEnd.receivedRequests()
	require.Len(t, seen, 3)
	require.Equal(t, 3, seen[2].number, "all requests used one connection")
}

// After an early answer, the rest of the body would have to be sent on the connection, so the next request must use
// another one.
func TestConnectionWithAnUnreadBodyIsNotReused(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		writeAnswer(connection, request, 200, "ok")
		if len(request.head.Peek("T-Early")) > 0 {
			<-end // keeps the connection open without reading the body
		}
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	relay.exchanger.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = connection.(*net.TCPConn).SetWriteBuffer(4 << 10) // smaller than the body
		}
		return connection, err
	}
	client := relay.client(t)
	require.Equal(t, 200, client.do("POST", "/path/", strings.Repeat("x", 3<<20), "T-Early: 1").status)
	require.Equal(t, 200, client.do("POST", "/path/", "next").status)
	seen := backEnd.receivedRequests()
	require.Equal(t, "next", seen[len(seen)-1].body)
	require.Equal(t, 1, seen[len(seen)-1].number)
}
