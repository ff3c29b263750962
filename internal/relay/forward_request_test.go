package relay

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// startThree starts three back ends with the same script, enough for a lost path.
func startThree(t *testing.T, answer script) []*scriptedBackEnd {
	t.Helper()
	var backEnds []*scriptedBackEnd
	for _, id := range []string{"a", "b", "c"} {
		backEnds = append(backEnds, startBackEnd(t, id, serving.StageWhole, answer))
	}
	return backEnds
}

// allRequests returns what back ends have received.
func allRequests(backEnds []*scriptedBackEnd) []backEndRequest {
	var all []backEndRequest
	for _, each := range backEnds {
		all = append(all, each.receivedRequests()...)
	}
	return all
}

// Guards against relays that change a request, or its answer, when it goes through two of them.
func TestForwardedRequestsAndAnswersAreUnchanged(t *testing.T) {
	backEnds := startThree(t, answering(201, "body", "Custom: kept", forwarding.HeaderRefusal+": unable"))
	relays, paths := newRelayGroup(t, 2, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	long := strings.Repeat("x", 3*longBodyBytes)
	client := relays[0].client(t)
	for index, body := range []string{"payload", long} {
		answer := client.do("POST", "/path/a%2Fb?q=1&r", body, "Custom: own", "Connection: keep-alive, Hop", "Hop: dropped", "T-Deadline: 900",
			"T-Model: m", "T-Stage: read", "T-Source: 1.2.3.4:5/x", "T-Pin: 9", "T-Rank: 0", "T-Tenant: other",
			forwarding.HeaderService+": other", forwarding.HeaderAttempts+": 9", forwarding.HeaderAttempts+": 8", forwarding.HeaderRefusal+": unable")
		require.Equal(t, 201, answer.status)
		require.Equal(t, "body", answer.body)
		require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
		require.Equal(t, "id-"+strconv.Itoa(index+1), string(answer.head.Peek("T-Id")))
		require.Equal(t, "kept", string(answer.head.Peek("Custom")))
		require.Empty(t, answer.head.Peek(forwarding.HeaderRefusal))
		received := allRequests(backEnds)
		require.Len(t, received, index+1)
		request := received[index]
		for _, each := range received {
			if each.body == body {
				request = each
			}
		}
		require.Equal(t, "POST /path/a%2Fb?q=1&r", request.line)
		require.Equal(t, body, request.body)
		require.Equal(t, "own", string(request.head.Peek("Custom")))
		require.Equal(t, "m", string(request.head.Peek("T-Model")))
		require.Equal(t, "test", string(request.head.Host()))
		for _, dropped := range append([]string{"Hop", "T-Stage", "T-Source", "T-Pin", "T-Rank", "T-Tenant"}, forwarding.Headers...) {
			require.Empty(t, request.head.Peek(dropped), dropped)
		}
		left, err := strconv.Atoi(string(request.head.Peek("T-Deadline")))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 900)
	}
}

// Guards against answers that lose their status, framing or seal between two relays.
func TestForwardedAnswersOfAllKindsAreUnchanged(t *testing.T) {
	long := strings.Repeat("y", 2*maxBufferedAnswer)
	for name, test := range map[string]struct {
		answer script
		status int
		body   string
		end    framing.End
	}{
		"long":                    {answering(200, long), 200, long, framing.Declared},
		"chunks":                  {writing(brokenHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"), 200, "abcde", framing.Declared},
		"framed by the close":     {writing(brokenHead + "\r\nabc"), 200, "abc", framing.Undeclared},
		"failure of the back end": {answering(500, "failed"), 500, "failed", framing.Declared},
		"client error":            {answering(404, "unknown"), 404, "unknown", framing.Declared},
		"no content":              {writing("HTTP/1.1 204 X\r\nT-Id: ID\r\nT-Seal: seal\r\n\r\n"), 204, "", framing.Declared},
		"long and cut off":        {resetting(brokenHead + "Content-Length: 200000\r\n\r\n" + strings.Repeat("z", 100_000)), 200, "", framing.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			relays, paths := newRelayGroup(t, 2, route(nil), nil, startThree(t, test.answer)...)
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			client := relays[0].client(t)
			answer := client.do("GET", "/path/", "")
			require.Equal(t, test.status, answer.status)
			require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
			require.Equal(t, test.end.String(), answer.end.String())
			if test.end != framing.Broken {
				require.Equal(t, test.body, answer.body)
			}
		})
	}
}

// Guards against clients that pose as a relay: on their port the internal headers mean nothing.
func TestClientsCannotForward(t *testing.T) {
	backEnd := startBackEnd(t, "a", serving.StageWhole, answering(200, "ok"))
	relay := newKeyedRelay(t, route(nil), twoTenants(), backEnd)
	var headers []string
	for _, header := range (forwarding.Progress{Service: "service", Tenant: "one"}).ToHeaders() {
		headers = append(headers, header.Name+": "+header.Value)
	}
	answer := relay.client(t).do("GET", "/path/", "", headers...)
	require.Equal(t, 401, answer.status)
	require.Empty(t, answer.head.Peek(forwarding.HeaderRefusal))
	require.Empty(t, backEnd.receivedRequests())
}

// Guards against serving a forwarded request whose earlier attempts are unknown.
func TestMalformedForwardedRequestsAreRefused(t *testing.T) {
	backEnd := startBackEnd(t, "a", serving.StageWhole, answering(200, "ok"))
	relays, _ := newRelayGroup(t, 1, route(nil), nil, backEnd)
	peer := &testRelay{Relay: relays[0].Relay, address: relays[0].datagrams.Address}
	for _, headers := range [][]string{
		nil,
		{forwarding.HeaderService + ": service", forwarding.HeaderConfiguration + ": 1", forwarding.HeaderAttempts + ": -1", forwarding.HeaderMayHaveRun + ": false"},
		{forwarding.HeaderService + ": service", forwarding.HeaderConfiguration + ": one", forwarding.HeaderAttempts + ": 0", forwarding.HeaderMayHaveRun + ": false"},
	} {
		answer := peer.client(t).do("GET", "/path/", "", headers...)
		require.Equal(t, 400, answer.status)
		require.Contains(t, answer.body, "headers of a forwarded request")
		require.Equal(t, string(forwarding.Unable), string(answer.head.Peek(forwarding.HeaderRefusal)))
	}
	require.Empty(t, backEnd.receivedRequests())
}

// Guards against more attempts than the route allows, when one relay after the other starts to count anew: with relays that each
// Guards against a peer that dies after it has sent a request: the attempt at its back end counts, an unsafe request is not sent
// Guards against back ends that go on working for a client that has left.
func TestForwardedExchangeEndsWhenTheClientLeaves(t *testing.T) {
	for name, change := range map[string]func(*serving.Route){"plain": safe, "stream": stream(true)} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			backEnds := startThree(t, func(connection net.Conn, _ backEndRequest) bool {
				close(arrived)
				_, _ = io.Copy(io.Discard, connection)
				return false
			})
			relays, paths := newRelayGroup(t, 2, route(func(r *serving.Route) { change(r); r.Timeout = time.Minute }), nil, backEnds...)
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			client := relays[0].client(t)
			client.send("GET", "/path/", "")
			<-arrived
			require.NoError(t, client.connection.Close())
			require.Eventually(t, func() bool {
				return len(relays[0].connections.activeRequests()) == 0 && len(relays[1].connections.activeRequests()) == 0
			}, 10*time.Second, time.Millisecond, "the exchange at the second relay has not ended")
			require.Len(t, allRequests(backEnds), 1)
		})
	}
}

// Guards against forwarded requests without an answer at their deadline.
func TestForwardedRequestsAreAnsweredAtTheirDeadline(t *testing.T) {
	backEnds := startThree(t, func(connection net.Conn, _ backEndRequest) bool {
		_, _ = io.Copy(io.Discard, connection)
		return false
	})
	relays, paths := newRelayGroup(t, 2, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	began := time.Now()
	answer := relays[0].client(t).do("GET", "/path/", "", "T-Deadline: 300")
	require.Contains(t, []int{502, 504}, answer.status, "it may have run")
	t.Logf("answered after %v", time.Since(began))
	require.Len(t, allRequests(backEnds), 1)
}

// Guards against a second relay that tries one back end after the other until the deadline, when it loses its path as well: the

// Guards against bytes after the answer to a HEAD request, where the next answer must begin: the end of a chunked body was sent
// when the back end declared a long one, or a stream.
func TestAnswersToHeadRequestsHaveNoBody(t *testing.T) {
	for name, head := range map[string]string{
		"short": "Content-Length: 9\r\n\r\n", "long": "Content-Length: 100000\r\n\r\n",
		"stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, isForwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", name, isForwarded), func(t *testing.T) {
				backEnds := startThree(t, writing(brokenHead+head))
				var change func(*serving.Route)
				if name == "stream" {
					change = stream(false)
				}
				relays, paths := newRelayGroup(t, 2, route(change), nil, backEnds...)
				if isForwarded {
					relays[0].loseAllPaths(t, paths[0], dialsRefused)
				}
				client := relays[0].client(t)
				client.send("HEAD", "/path/", "", "Connection: close")
				received, err := io.ReadAll(client.reader)
				require.NoError(t, err)
				_, body, isWhole := strings.Cut(string(received), "\r\n\r\n")
				require.True(t, isWhole)
				require.Contains(t, string(received), "HTTP/1.1 200 OK")
				require.Empty(t, body)
			})
		}
	}
}
