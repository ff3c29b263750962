package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// unframedHead is the head of an answer that ends with its connection, unframedStreamHead that of a stream.
const (
	unframedHead       = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nConnection: close\r\n\r\n"
	unframedStreamHead = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
	// cutEvent is the beginning of an event.
	cutEvent = "id: 2\ndata: ha"
	// cutLine is an event without the empty line that ends it.
	cutLine = "id: 2\ndata: b\n"
)

// delivery says how a client reaches the relay that sends its request to a back end.
type delivery struct {
	name  string
	start func(t *testing.T, config serving.Route, backEnds ...*scriptedBackEnd) *testRelay
}

// deliveries are the two ways: at once, and through another relay without a path to back ends.
var deliveries = []delivery{
	{"one relay", newTestRelay},
	{"two relays", func(t *testing.T, config serving.Route, backEnds ...*scriptedBackEnd) *testRelay {
		relays, paths := newRelayGroup(t, 2, config, nil, backEnds...)
		relays[0].loseAllPaths(t, paths[0], dialsRefused)
		return relays[0]
	}},
}

// unframedAnswer is an answer without a length and without chunks, and what a client may be told of it.
type unframedAnswer struct {
	script script
	kinds  map[string]func(*serving.Route)
	status int
	body   string
	end    framing.End
}

var unsafePlain = func(*serving.Route) {}

// unframedAnswers are answers that no other attempt replaces.
func unframedAnswers() map[string]unframedAnswer {
	long := strings.Repeat("x", maxBufferedAnswer+1)
	plain := map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe}
	once := map[string]func(*serving.Route){"unsafe": unsafePlain}
	anyStream := map[string]func(*serving.Route){"stream": stream(false), "resumable stream": stream(true)}
	onceStream := map[string]func(*serving.Route){"stream": stream(false)}
	return map[string]unframedAnswer{
		"closed":                      {writing(unframedHead + "abc"), plain, 200, "abc", framing.Undeclared},
		"closed before its body":      {writing(unframedHead), plain, 200, "", framing.Undeclared},
		"closed, long":                {writing(unframedHead + long), plain, 200, long, framing.Undeclared},
		"reset":                       {resetting(unframedHead + "abc"), once, 502, "", framing.Declared},
		"reset, long":                 {resetting(unframedHead + long), plain, 200, long, framing.Broken},
		"closed between two events":   {writing(unframedStreamHead + eventOne + eventTwo), anyStream, 200, eventOne + eventTwo, framing.Undeclared},
		"closed before its events":    {writing(unframedStreamHead), onceStream, 502, "", framing.Declared},
		"closed within an event":      {writing(unframedStreamHead + eventOne + cutEvent), onceStream, 200, eventOne, framing.Broken},
		"closed before an empty line": {writing(unframedStreamHead + eventOne + cutLine), onceStream, 200, eventOne, framing.Broken},
		"reset between two events":    {resetting(unframedStreamHead + eventOne), onceStream, 200, eventOne, framing.Broken},
		"reset within an event":       {resetting(unframedStreamHead + eventOne + cutEvent), onceStream, 200, eventOne, framing.Broken},
	}
}

// Guards against answers that their back end has broken off and that reach the client framed as complete: an answer with
// neither a length nor chunks ends with its connection, which does not say that it is whole.
func TestAnswerThatEndsWithItsConnectionIsNotFramedAsComplete(t *testing.T) {
	for name, test := range unframedAnswers() {
		for kindName, kind := range test.kinds {
			for _, way := range deliveries {
				t.Run(strings.Join([]string{name, kindName, way.name}, ", "), func(t *testing.T) {
					t.Parallel()
					backEnds := startThree(t, test.script)
					client := way.start(t, route(kind), backEnds...).client(t)
					answer := client.do("GET", "/path/", "")
					require.Equal(t, test.status, answer.status)
					require.Equal(t, test.end.String(), answer.end.String())
					require.Len(t, allRequests(backEnds), 1, "nothing else is sent for it")
					if test.status != 200 {
						require.Empty(t, answer.head.Peek("T-Seal"))
						return
					}
					require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
					if test.end == framing.Broken { // a reset may overtake what was sent before
						require.True(t, strings.HasPrefix(test.body, answer.body), "%d bytes", len(answer.body))
						return
					}
					require.Equal(t, test.body, answer.body)
					require.True(t, answer.end != framing.Undeclared || answer.head.ConnectionClose())
				})
			}
		}
	}
}

// Guards against a broken stream that is not continued where its route allows it, since the close of its connection was taken
// for its end.
func TestStreamWithoutFramingContinuesAfterABreakWithinAnEvent(t *testing.T) {
	for name, first := range map[string]script{
		"closed": writing(unframedStreamHead + eventOne + cutEvent), "reset": resetting(unframedStreamHead + eventOne + cutEvent),
		"closed within the first event": writing(unframedStreamHead + "id: 1\nda"), "closed before the first event": writing(unframedStreamHead),
	} {
		t.Run(name, func(t *testing.T) {
			broken := startBackEnd(t, "broken", serving.StageWhole, first)
			sound := startBackEnd(t, "sound", serving.StageWhole, streaming("sound", eventOne, eventTwo, eventThree))
			relay := newTestRelay(t, route(stream(true)), broken, sound).preferring("broken")
			answer := relay.client(t).do("GET", "/path/", "")
			require.Equal(t, 200, answer.status)
			require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			require.NotEqual(t, framing.Broken, answer.end)
		})
	}
}

// A client that has every event of a stream already, and asks for the rest, gets an empty stream.
func TestEmptyRestOfAStreamWithoutFramingIsForwarded(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, writing(unframedStreamHead))
	answer := newTestRelay(t, route(stream(true)), backEnd).client(t).do("GET", "/path/", "", "T-Last: 3")
	require.Equal(t, 200, answer.status)
	require.Equal(t, framing.Undeclared.String(), answer.end.String())
}

// Guards against a stream with a declared end that is taken for whole although it ends within an event.
func TestStreamThatDeclaresItsEndWithinAnEventIsBroken(t *testing.T) {
	for name, head := range map[string]string{
		"chunks": streamHead + "1d\r\n" + eventOne + cutEvent + "\r\n0\r\n\r\n",
		"length": strings.Replace(streamHead, "Transfer-Encoding: chunked", "Content-Length: 29", 1) + eventOne + cutEvent,
	} {
		for _, way := range deliveries {
			t.Run(name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				answer := way.start(t, route(stream(false)), startThree(t, writing(head))...).client(t).do("GET", "/path/", "")
				require.False(t, answer.isComplete)
				require.Equal(t, eventOne, strings.TrimSuffix(answer.body, cutEvent))
			})
		}
	}
}

// Guards against a stream whose answer has begun in chunks and that gets a last chunk, although the back end at which it went
// on has ended with its connection.
func TestUndeclaredEndOfAContinuedStreamIsNotDeclared(t *testing.T) {
	broken := startBackEnd(t, "broken", serving.StageWhole, streaming("broken", eventOne, "cut"))
	unframed := startBackEnd(t, "unframed", serving.StageWhole, writing(unframedStreamHead+eventTwo))
	relay := newTestRelay(t, route(stream(true)), broken, unframed).preferring("broken")
	answer := relay.client(t).do("GET", "/path/", "")
	require.Equal(t, eventOne+eventTwo, answer.body)
	require.False(t, answer.isComplete)
}

// A stream whose end nobody has declared goes on at another back end if its answer has begun in chunks and its route allows
// it: that one declares the end.
func TestUndeclaredEndOfAContinuedStreamIsAskedForAgain(t *testing.T) {
	broken := startBackEnd(t, "broken", serving.StageWhole, streaming("broken", eventOne, "cut"))
	unframed := startBackEnd(t, "unframed", serving.StageWhole, writing(unframedStreamHead+eventTwo))
	sound := startBackEnd(t, "sound", serving.StageWhole, streaming("sound", eventTwo, eventThree))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(true)(r); r.MaxAttempts = 3 }), broken, unframed, sound).preferring("broken")
	for _, each := range relay.view.Load().byService["service"] {
		if each.ID == "sound" {
			each.avoidUntil(relay.clock.now() + time.Hour)
		}
	}
	answer := relay.client(t).do("GET", "/path/", "")
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
	require.True(t, answer.isComplete)
}

// Guards against a kept error answer that gets a length although its back end gave none.
func TestKeptErrorAnswerWithoutFramingIsNotFramedAsComplete(t *testing.T) {
	failing := startBackEnd(t, "failing", serving.StageWhole, writing(strings.Replace(unframedHead, "200 OK", "500 X", 1)+"fai"))
	other := startBackEnd(t, "other", serving.StageWhole, resetting(""))
	relay := newTestRelay(t, route(safe), failing, other).preferring("failing")
	answer := relay.client(t).do("POST", "/path/", "x")
	require.Equal(t, 500, answer.status)
	require.Equal(t, "fai", answer.body)
	require.Equal(t, framing.Undeclared.String(), answer.end.String())
	require.Len(t, other.receivedRequests(), 1)
}

// Guards against requests that end one back end after another because each of these had begun an answer without framing: the
// close of its connection counted as a completed run.
func TestBackEndThatEndsWithinAnUnframedAnswerHasCrashed(t *testing.T) {
	var backEnds []*scriptedBackEnd
	for number := range 8 {
		backEnds = append(backEnds, serveBackEnd(t, fmt.Sprint(number), serving.StageWhole, func(listener net.Listener) script {
			return func(connection net.Conn, request backEndRequest) bool {
				_ = listener.Close()
				return writing(unframedHead+"ab")(connection, request)
			}
		}))
	}
	relay := newTestRelay(t, route(nil), backEnds...)
	for crashes := range quarantine.QuarantineThreshold {
		require.False(t, relay.client(t).do("POST", "/path/", crashingBody).isComplete)
		seen := fmt.Sprintf("hazelpitch_relay_back_ends_ended_total{%s} %d\n", metricLabels, crashes+1)
		require.Eventually(t, func() bool { return strings.Contains(relay.scrape(t), seen) }, 10*time.Second, time.Millisecond)
	}
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", crashingBody).status)
}

// Guards against a client that waits for an end that was never declared while its next request on the connection is unread.
func TestConnectionEndsAfterAnAnswerWithoutFraming(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, writing(unframedHead+"abc"))
	client := newTestRelay(t, route(nil), backEnd).client(t)
	client.send("GET", "/path/", "")
	client.send("GET", "/path/", "")
	require.NoError(t, client.connection.SetReadDeadline(time.Now().Add(time.Minute)))
	require.Equal(t, "abc", client.read().body)
	_, err := client.reader.ReadByte()
	require.True(t, errors.Is(err, io.EOF) || isReset(err), "%v", err)
	require.Len(t, backEnd.receivedRequests(), 1)
}

// isReset reports whether a connection was reset.
func isReset(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation)
}

// Answers that have no body need no framing, and their connection is kept. The back end keeps its own connection too: a second POST
// that meets its close is answered 502, since it may have run.
func TestAnswersWithoutABodyAreComplete(t *testing.T) {
	for name, test := range map[string]struct{ method, status string }{
		"HEAD": {"HEAD", "200 OK"}, "no content": {"POST", "204 X"}, "not modified": {"POST", "304 X"},
	} {
		t.Run(name, func(t *testing.T) {
			backEnd := startBackEnd(t, "one", serving.StageWhole, keepingAfter(writing("HTTP/1.1 "+test.status+"\r\nT-Id: ID\r\nT-Seal: seal\r\n\r\n")))
			client := newTestRelay(t, route(nil), backEnd).client(t)
			for range 2 {
				client.send(test.method, "/path/", "")
				head, err := readUntilEmptyLine(client)
				require.NoError(t, err)
				require.Contains(t, head, test.status[:3])
				require.NotContains(t, head, "Connection: close")
			}
			require.Len(t, backEnd.receivedRequests(), 2)
		})
	}
}

// readUntilEmptyLine reads the head of an answer.
func readUntilEmptyLine(client *testClient) (string, error) {
	text := ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := client.reader.ReadString('\n')
		text += line
		if err != nil {
			return text, err
		}
	}
	return text, nil
}

// An answer with both a length and chunks ends with its last chunk, and interim answers belong to no answer.
func TestFramingOfUnusualAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"both a length and chunks": "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"an interim answer":        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 3\r\n\r\nabc",
		"bytes after the end":      "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 3\r\n\r\nabcdef",
		"an older protocol":        "HTTP/1.0 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			answer := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, writing(raw))).client(t).do("POST", "/path/", "x")
			require.Equal(t, 200, answer.status)
			require.Equal(t, "abc", answer.body)
			require.True(t, answer.isComplete)
		})
	}
	answer := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, writing("HTTP/1.0 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n\r\nabc"))).client(t).do("POST", "/path/", "x")
	require.Equal(t, framing.Undeclared.String(), answer.end.String(), "an older protocol without a length")
}
