package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// isRepeatable tells of the kinds of routes whether their requests may be sent again.
var isRepeatable = map[string]bool{"safe": true, "resumable stream": true}

// requireRefused requires a failure of the relay's own that does not say that the request was not run.
func requireRefused(t *testing.T, answer clientAnswer) {
	t.Helper()
	require.Equal(t, 502, answer.status, "the request may have run")
	require.Empty(t, answer.head.Peek("T-Seal"))
	require.Empty(t, answer.head.Peek("X-Broken"))
	require.True(t, answer.isComplete)
}

// Guards against an answer that is none by the grammar of HTTP/1.1, and that a client gets as an answer, in whole or in part.
func TestBrokenAnswerIsNotForwarded(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range brokenanswer.Heads(kind.answer) {
			for _, delivery := range deliveries {
				t.Run(strings.Join([]string{kindName, way.Name, delivery.name}, "/"), func(t *testing.T) {
					t.Parallel()
					relay := delivery.start(t, route(kind.kind), startThree(t, writing(way.Text))...)
					requireRefused(t, relay.client(t).do("GET", "/path/", ""))
				})
			}
		}
	}
}

// requestingWhole returns a function that sends a request of a new client, which must get the whole body.
func requestingWhole(t *testing.T, relay *testRelay, body string) func() {
	return func() {
		answer := relay.client(t).do("GET", "/path/", "")
		require.Equal(t, 200, answer.status)
		require.True(t, answer.isComplete)
		require.Equal(t, body, answer.body)
	}
}

// Guards against a client that gets a failure though its request may be repeated, or a broken answer mixed with a whole one, and
// against a back end that goes on to get requests.
func TestBrokenAnswerIsReplacedByAWholeAnswer(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range brokenanswer.Heads(kind.answer) {
			if !isRepeatable[kindName] {
				continue
			}
			t.Run(kindName+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				broken := startBackEnd(t, "broken", serving.StageWhole, onceThen(writing(way.Text), writing(kind.answer.Whole())))
				sound := startBackEnd(t, "sound", serving.StageWhole, writing(kind.answer.Whole()))
				relay := newTestRelay(t, route(kind.kind), broken, sound).preferring("broken")
				request := requestingWhole(t, relay, kind.answer.Body)
				request()
				require.Len(t, broken.receivedRequests(), 1)
				requireAvoidedAndBack(t, relay, broken, request)
			})
		}
	}
}

// Guards against a log that does not tell which back end breaks which rule, or that repeats what the back end has sent.
func TestLogNamesTheRuleThatAnAnswerBreaks(t *testing.T) {
	t.Parallel()
	answer := halfhead.Answer{Headers: echoHeaders, Body: "secret"}
	for _, way := range brokenanswer.Heads(answer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, writing(way.Text)))
			lines := &logLines{}
			relay.log = requestLog{logger: zerolog.New(lines)}
			requireRefused(t, relay.client(t).do("POST", "/path/", "x"))
			require.Contains(t, lines.String(), `"back_end":"one"`)
			require.Contains(t, lines.String(), `"rule":"`+string(way.Rule)+`"`)
			require.NotContains(t, lines.String(), "secret")
			require.NotContains(t, lines.String(), ": seal")
		})
	}
}

// Guards against a broken answer that is used since the one before it on the connection was sound, or since it arrives in pieces or
// after an informational head.
func TestBrokenAnswerIsNotForwardedHoweverItArrives(t *testing.T) {
	t.Parallel()
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	whole := halfhead.Answer{Headers: echoHeaders, Body: "whole answer"}
	for _, way := range brokenanswer.Heads(whole) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			for name, broken := range map[string]script{
				"kept connection": writing(way.Text), "in pieces": writingInPieces(way.Text), "after an informational head": writing(informational + way.Text),
			} {
				backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
					if request.number == 1 {
						return keepingAfter(writing(whole.Whole()))(connection, request)
					}
					return broken(connection, request)
				})
				client := newTestRelay(t, route(nil), backEnd).client(t)
				require.Equal(t, whole.Body, client.do("POST", "/path/", "1").body)
				answer := client.do("POST", "/path/", "2")
				require.Equal(t, 502, answer.status, name)
				require.Empty(t, answer.head.Peek("T-Seal"), name)
				require.Len(t, backEnd.receivedRequests(), 2)
			}
		})
	}
}

// writingInPieces returns a script that writes raw bytes in pieces, with a pause after each, and closes the connection.
func writingInPieces(raw string) script {
	const pieceBytes = 7
	return func(connection net.Conn, request backEndRequest) bool {
		text := strings.ReplaceAll(raw, "ID", string(request.head.Peek("T-Id")))
		for len(text) > 0 {
			size := min(pieceBytes, len(text))
			if _, err := io.WriteString(connection, text[:size]); err != nil {
				return false
			}
			text = text[size:]
			time.Sleep(time.Millisecond)
		}
		return false
	}
}

// Guards against a broken answer of another relay that forwards a request.
func TestBrokenAnswerOfAForwardingRelay(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range brokenanswer.Heads(kind.answer) {
			t.Run(kindName+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				relay, peer := newRelayThatForwards(t, route(kind.kind), way.Text, halfhead.Close)
				answer := relay.client(t).do("GET", "/path/", "")
				require.NotZero(t, peer.Requests())
				requireRefused(t, answer)
			})
		}
	}
}

// Guards against a broken answer within a stream that goes on elsewhere: neither the head nor the events of that back end may reach the
// client, and the stream goes on at the next one.
func TestBrokenAnswerWithinAStreamThatGoesOn(t *testing.T) {
	t.Parallel()
	for _, way := range brokenanswer.Heads(halfhead.Answer{Headers: echoHeaders + "Content-Type: text/event-stream\r\n", Body: "id: 2\ndata: wrong\n\n"}) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			first := startBackEnd(t, "first", serving.StageWhole, streaming("first", eventOne, "cut"))
			broken := startBackEnd(t, "broken", serving.StageWhole, writing(way.Text))
			sound := startBackEnd(t, "sound", serving.StageWhole, streaming("sound", eventTwo, eventThree))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(true)(r); r.MaxAttempts = 3 }), first, broken, sound).preferring("first")
			relay.engineOf("sound").avoidUntil(relay.clock.now() + time.Hour)
			answer := relay.client(t).do("GET", "/path/", "")
			require.Len(t, broken.receivedRequests(), 1)
			require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			require.True(t, answer.isComplete)
		})
	}
}

// Guards against calls of the relay's own that use an answer which is none.
func TestOwnCallsDoNotUseBrokenAnswers(t *testing.T) {
	t.Parallel()
	for name, call := range ownCalls() {
		for _, way := range brokenanswer.Heads(call.answer) {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				backEnd := startBackEnd(t, "one", serving.StageDecode, writing(way.Text))
				relay := newTestRelay(t, longTimeout(), backEnd)
				call.check(t, relay, relay.engineOf("one"), halfhead.Way{Name: way.Name})
				require.Len(t, backEnd.receivedRequests(), 1)
			})
		}
	}
}

// Guards against an answer to a prefill that is none, and whose handle is used.
func TestBrokenAnswerToAPrefillIsNotUsed(t *testing.T) {
	t.Parallel()
	for _, way := range brokenanswer.Heads(halfhead.Answer{Headers: echoHeaders, Body: "handle"}) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			broken := startBackEnd(t, "broken", serving.StagePrefill, writing(way.Text))
			decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
			relay := newTestRelay(t, longTimeout(stream(true)), broken, decoder)
			answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
			require.Equal(t, eventOne, answer.body)
			require.True(t, answer.isComplete)
			require.Len(t, broken.receivedRequests(), 1)
			for _, each := range decoder.receivedRequests() {
				require.Empty(t, each.head.Peek("T-Source"))
			}
		})
	}
}

// Guards against sound answers that are refused since few back ends send the like.
func TestUnusualAnswersAreForwarded(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, unusual := range brokenanswer.UnusualAnswers(kind.answer) {
			if unusual.Status >= 500 && isRepeatable[kindName] {
				continue // another back end's answer replaces it
			}
			for _, delivery := range deliveries {
				t.Run(strings.Join([]string{kindName, unusual.Name, delivery.name}, "/"), func(t *testing.T) {
					t.Parallel()
					client := delivery.start(t, route(kind.kind), startThree(t, writing(unusual.Text))...).client(t)
					answer := client.do("GET", "/path/", "")
					require.Equal(t, unusual.Status, answer.status)
					require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
					require.Equal(t, kind.answer.Body, answer.body)
					require.True(t, answer.isComplete)
				})
			}
		}
	}
}

// Guards against a body where there is none, that is taken for the beginning of the next answer: the connection carries no other request.
func TestBodyOfAnAnswerWithoutABodyIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ method, head, body string }{
		"204 with a length":           {"POST", "HTTP/1.1 204 X\r\nContent-Length: 4\r\n", "body"},
		"204 with chunks":             {"POST", "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
		"304 with a body at once":     {"POST", "HTTP/1.1 304 X\r\nContent-Length: 4\r\n", "body"},
		"HEAD with a body at once":    {"HEAD", "HTTP/1.1 200 X\r\nContent-Length: 4\r\n", "body"},
		"both a length and chunks":    {"POST", "HTTP/1.1 200 X\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
		"a whole answer in its place": {"POST", "HTTP/1.1 204 X\r\nContent-Length: 38\r\n", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n\r\n"},
	} {
		for _, isLate := range []bool{false, true} {
			if isLate && strings.Contains(name, "at once") {
				continue // nothing tells that more will come
			}
			t.Run(fmt.Sprint(name, ", late ", isLate), func(t *testing.T) {
				t.Parallel()
				backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
					head := test.head + "T-Id: " + string(request.head.Peek("T-Id")) + "\r\nT-Seal: seal\r\n\r\n"
					if !isLate {
						_, _ = io.WriteString(connection, head+test.body)
						return true
					}
					_, _ = io.WriteString(connection, head)
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(connection, test.body)
					return true
				})
				client := newTestRelay(t, route(nil), backEnd).client(t)
				for range 3 {
					client.send(test.method, "/path/", "")
					head, err := readUntilEmptyLine(client)
					require.NoError(t, err)
					require.Contains(t, head, test.head[:len("HTTP/1.1 204")])
					require.Contains(t, head, "seal")
				}
				require.Len(t, backEnd.receivedRequests(), 3)
				for _, each := range backEnd.receivedRequests() {
					require.Equal(t, 1, each.number, "each on a connection of its own")
				}
			})
		}
	}
}
