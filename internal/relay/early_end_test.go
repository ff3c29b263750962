package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
)

const (
	// linkPieceBytes pass a link at each linkInterval: 8 MB/s.
	linkPieceBytes = 16 << 10
	linkInterval   = 2 * time.Millisecond
)

// readOverLink reads a number of bytes as fast as a link carries them.
func readOverLink(connection net.Conn, count int) {
	piece := make([]byte, linkPieceBytes)
	for read := 0; read < count; {
		n, err := connection.Read(piece)
		if err != nil {
			return
		}
		read += n
		time.Sleep(linkInterval)
	}
}

// Guards against the part of an answer without a length that a client gets as a whole one: the back end has crashed with nothing unread,
// so that the end of its stream comes first and the reset behind it, while the rest of the request is on its way.
func TestEndBeforeTheRequestIsReceivedIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	for answerName, test := range earlyAnswers {
		if answerName == "rejection" || answerName == "failure" {
			continue // delivered: see TestRejectionBeforeTheRequestIsReceivedIsDelivered
		}
		for kindName, kind := range test.kinds {
			for sizeName, size := range map[string]int{"100 KB": 100 << 10, "1 MB": 1 << 20, "3 MB": unsentBodyBytes} {
				for _, way := range deliveries {
					t.Run(strings.Join([]string{answerName, kindName, sizeName, way.name}, "/"), func(t *testing.T) {
						t.Parallel()
						crash := func(connection net.Conn, request backEndRequest) bool {
							_, _ = io.WriteString(connection, strings.ReplaceAll(test.part, "ID", string(request.head.Peek("T-Id"))))
							readOverLink(connection, size/3)
							linkserver.Crash(connection.(*net.TCPConn))
							return false
						}
						relay := way.start(t, route(kind), startLinkedBackEnds(t, crash, linkserver.SmallReceiveBuffer)...)
						requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", size), "T-Early: 1"))
					})
				}
			}
		}
	}
}

// Guards against the same for a short request, which is written at once.
func TestEndBeforeAShortRequestIsReceivedIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	crash := func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.ReplaceAll(unframedHead, "ID", string(request.head.Peek("T-Id")))+"abc")
		linkserver.Crash(connection.(*net.TCPConn))
		return false
	}
	relay := newTestRelay(t, route(nil), startLinkedBackEnds(t, crash, linkserver.SmallReceiveBuffer)...)
	requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", longBodyBytes-1), "T-Early: 1"))
}

// Guards against the same on the hop between relays: the other relay crashes while a request is forwarded to it.
func TestRelayThatCrashesWhileARequestIsForwardedLeavesNoWholeAnswer(t *testing.T) {
	t.Parallel()
	crash := func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.ReplaceAll(unframedHead, "ID", string(request.head.Peek("T-Id")))+"abc")
		readOverLink(connection, unsentBodyBytes/3)
		linkserver.Crash(connection.(*net.TCPConn))
		return false
	}
	peer := startLinkedBackEnds(t, crash, linkserver.SmallReceiveBuffer)[0]
	relay := startForwardingTo(t, route(nil), peer)
	requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1"))
	require.Len(t, peer.receivedRequests(), 1)
}

// Guards against sound answers that are lost, since the back end has ended them before it had received the whole request: it only ends
// its own stream, and receives the rest at the speed of the link, after a pause, or not at all.
func TestEarlyAnswerThatOnlyEndsItsOwnStreamIsWhole(t *testing.T) {
	t.Parallel()
	for name, receive := range map[string]func(net.Conn){
		"received at the speed of the link": func(connection net.Conn) { readOverLink(connection, unsentBodyBytes) },
		"received after a pause": func(connection net.Conn) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, connection)
		},
		"not received": func(connection net.Conn) { time.Sleep(2 * time.Second) },
	} {
		for kindName, kind := range map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe, "stream": stream(false)} {
			for _, way := range deliveries {
				t.Run(strings.Join([]string{name, kindName, way.name}, "/"), func(t *testing.T) {
					t.Parallel()
					head := unframedHead
					if kindName == "stream" {
						head = unframedStreamHead
					}
					early := func(connection net.Conn, request backEndRequest) bool {
						_, _ = io.WriteString(connection, strings.ReplaceAll(head, "ID", string(request.head.Peek("T-Id")))+eventOne)
						_ = connection.(*net.TCPConn).CloseWrite()
						receive(connection)
						return false
					}
					relay := way.start(t, route(kind), startLinkedBackEnds(t, early, linkserver.SmallReceiveBuffer)...)
					answer := relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1")
					require.Equal(t, 200, answer.status)
					require.Equal(t, eventOne, answer.body)
					require.Equal(t, framing.Undeclared.String(), answer.end.String())
				})
			}
		}
	}
}

// Guards against a rejection that is replaced by a failure of the relay, because the back end has not read the request that it rejects:
// its status says what the client needs to know.
func TestRejectionBeforeTheRequestIsReceivedIsDelivered(t *testing.T) {
	t.Parallel()
	for _, way := range deliveries {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			reject := func(connection net.Conn, request backEndRequest) bool {
				_, _ = io.WriteString(connection, strings.ReplaceAll(earlyAnswers["rejection"].part, "ID", string(request.head.Peek("T-Id"))))
				linkserver.Crash(connection.(*net.TCPConn))
				return false
			}
			relay := way.start(t, route(nil), startLinkedBackEnds(t, reject, linkserver.SmallReceiveBuffer)...)
			answer := relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1")
			require.Equal(t, 404, answer.status)
			require.Equal(t, "abc", answer.body)
			require.Equal(t, framing.Undeclared.String(), answer.end.String())
		})
	}
}
