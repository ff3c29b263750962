package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// earlyBreakTries is the number of requests of which at least one must meet the race between the write of the request and the read
	// of the answer.
	earlyBreakTries = 3
	// partTime is how long the relay has to read the part of an answer that precedes a break.
	partTime = 20 * time.Millisecond
	// testUserTimeout is how long the kernel waits for acknowledgements of a silent back end.
	testUserTimeout = 200 * time.Millisecond
)

// longPart is a part of an answer that is too long to be held back by the relay.
var longPart = strings.Repeat("x", 3*maxBufferedAnswer)

// earlyBreaks are the ways in which a back end breaks off while the rest of the request waits for it.
var earlyBreaks = map[string]func(connection *net.TCPConn){
	"reset":                         func(connection *net.TCPConn) { _ = connection.SetLinger(0) },
	"closed with unread bytes":      func(*net.TCPConn) {},
	"closed after a part was read":  func(connection *net.TCPConn) { _, _ = connection.Read(make([]byte, 100)) },
	"reset while the rest is read":  func(connection *net.TCPConn) { discardSome(connection, unsentBodyBytes/2); _ = connection.SetLinger(0) },
	"closed while the rest is read": func(connection *net.TCPConn) { discardSome(connection, unsentBodyBytes/2) },
}

// discardSome reads a number of bytes.
func discardSome(connection net.Conn, count int64) { _, _ = io.CopyN(io.Discard, connection, count) }

// earlyAnswers are parts of answers without a length, by name, with the kinds of routes on which they come.
var earlyAnswers = map[string]struct {
	part  string
	kinds map[string]func(*serving.Route)
}{
	"success":               {unframedHead + "abc", map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe}},
	"success, long":         {unframedHead + longPart, map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe}},
	"success, without body": {unframedHead, map[string]func(*serving.Route){"unsafe": unsafePlain}},
	"rejection":             {strings.Replace(unframedHead, "200 OK", "404 X", 1) + "abc", map[string]func(*serving.Route){"unsafe": unsafePlain}},
	"failure":               {strings.Replace(unframedHead, "200 OK", "500 X", 1) + "abc", map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe}},
	"events":                {unframedStreamHead + eventOne, map[string]func(*serving.Route){"stream": stream(false), "resumable stream": stream(true)}},
	"events, long":          {unframedStreamHead + strings.Repeat(eventOne, maxBufferedAnswer/len(eventOne)), map[string]func(*serving.Route){"stream": stream(false)}},
}

// breakingEarly returns a script that answers early with a part of an answer and breaks off.
func breakingEarly(part string, end func(*net.TCPConn)) script {
	return func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.ReplaceAll(part, "ID", string(request.head.Peek("T-Id"))))
		time.Sleep(partTime)
		end(connection.(*net.TCPConn))
		return false
	}
}

// requireNoWholeAnswer requires that a client does not take the part of a back end's answer for the whole of it.
func requireNoWholeAnswer(t *testing.T, answer clientAnswer) {
	t.Helper()
	isWhole := answer.end == framing.Declared || answer.end == framing.Undeclared
	require.False(t, len(answer.head.Peek("T-Seal")) > 0 && isWhole, "status %d, %d bytes look whole: %s", answer.status, len(answer.body), answer.end)
}

// Guards against the part of an answer without a length that a client gets as a whole one, in the cases that
// TestResetWhileTheRequestIsWrittenBreaksTheAnswer leaves out: long answers, errors, answers without a body, and crashes, at which the
// kernel of the back end resets the connection.
func TestBreakWhileTheRequestIsWrittenIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	for answerName, test := range earlyAnswers {
		for kindName, kind := range test.kinds {
			for breakName, end := range earlyBreaks {
				for _, way := range deliveries {
					t.Run(strings.Join([]string{answerName, kindName, breakName, way.name}, "/"), func(t *testing.T) {
						t.Parallel()
						relay := way.start(t, route(kind), startLinkedBackEnds(t, breakingEarly(test.part, end))...)
						for range earlyBreakTries {
							requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1"))
						}
					})
				}
			}
		}
	}
}

// Guards against the same where the relay got the long request in chunks.
func TestBreakWhileARequestInChunksIsWrittenIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	chunk := strings.Repeat("x", unsentBodyBytes/4)
	body := fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	for _, way := range deliveries {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			relay := way.start(t, route(nil), startLinkedBackEnds(t, breakingEarly(unframedHead+"abc", earlyBreaks["reset"]))...)
			for range earlyBreakTries {
				client := relay.client(t)
				client.send("POST", "/path/", "", "T-Early: 1", "Transfer-Encoding: chunked")
				_, err := io.WriteString(client.connection, strings.Repeat(body, 4)+"0\r\n\r\n")
				require.NoError(t, err)
				requireNoWholeAnswer(t, client.read())
			}
		})
	}
}

// Guards against the same where the back end falls silent, so that the kernel gives the connection up: the write of the request may get
// that error as well.
func TestSilenceWhileTheRequestIsWrittenIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	for answerName, test := range earlyAnswers {
		for kindName, kind := range test.kinds {
			t.Run(answerName+"/"+kindName, func(t *testing.T) {
				t.Parallel()
				silent := make(chan struct{})
				t.Cleanup(func() { close(silent) })
				backEnds := startLinkedBackEnds(t, breakingEarly(test.part, func(connection *net.TCPConn) {
					_ = silence.Begin(connection)
					<-silent
				}))
				relay := newTestRelay(t, route(kind), backEnds...)
				relay.exchanger.dial = linkserver.Dialer(testUserTimeout).DialContext
				requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1"))
			})
		}
	}
}

// startForwardingTo starts a relay without a path to back ends, which forwards requests to a stand-in of another relay.
func startForwardingTo(t *testing.T, config serving.Route, peer *scriptedBackEnd) *testRelay {
	t.Helper()
	relays, paths := newRelayGroup(t, 2, config, nil, startThree(t, answering(200, "ok"))...)
	paths[0].relays[peer.entry.Address] = true
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	relays[0].forwarder.setPeers([]string{peer.entry.Address})
	return relays[0]
}

// Guards against the same on the hop between relays: the other relay has begun to answer and ends while this one still writes the
// request to it.
func TestRelayThatEndsWhileARequestIsForwardedLeavesNoWholeAnswer(t *testing.T) {
	t.Parallel()
	for answerName, test := range earlyAnswers {
		for kindName, kind := range test.kinds {
			for breakName, end := range earlyBreaks {
				t.Run(strings.Join([]string{answerName, kindName, breakName}, "/"), func(t *testing.T) {
					t.Parallel()
					peer := startLinkedBackEnds(t, breakingEarly(test.part, end))[0]
					relay := startForwardingTo(t, route(kind), peer)
					requireNoWholeAnswer(t, relay.client(t).do("POST", "/path/", strings.Repeat("x", unsentBodyBytes), "T-Early: 1"))
					require.Len(t, peer.receivedRequests(), 1)
				})
			}
		}
	}
}
