package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

const echoHeaders = "T-Id: ID\r\nT-Seal: seal\r\n"

// halfHeadKinds are the kinds of routes, with the whole answer of which a back end sends the beginning.
func halfHeadKinds() map[string]halfHeadKind {
	plain := halfhead.Answer{Headers: echoHeaders, Body: "whole answer"}
	events := halfhead.Answer{Headers: echoHeaders + "Content-Type: text/event-stream\r\n", Body: eventOne + eventTwo}
	return map[string]halfHeadKind{
		"unsafe": {unsafePlain, plain}, "safe": {safe, plain}, "stream": {stream(false), events}, "resumable stream": {stream(true), events},
	}
}

type halfHeadKind struct {
	kind   func(*serving.Route)
	answer halfhead.Answer
}

// scriptOf returns a script that stops an answer in a way.
func scriptOf(way halfhead.Way, end halfhead.End) script {
	if end == halfhead.Reset {
		return resetting(way.Text)
	}
	return writing(way.Text)
}

// Guards against an answer that stops within its head, or without its body, and reaches the client as an empty or short one that is
// framed as whole.
func TestHalfHeadIsNotFramedAsComplete(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range kind.answer.Ways() {
			if way.IsLengthZero {
				continue // declared to be whole
			}
			for endName, end := range halfhead.Ends {
				for _, delivery := range deliveries {
					t.Run(strings.Join([]string{kindName, way.Name, endName, delivery.name}, "/"), func(t *testing.T) {
						t.Parallel()
						answer := delivery.start(t, route(kind.kind), startThree(t, scriptOf(way, end))...).client(t).do("GET", "/path/", "")
						require.False(t, answer.isComplete && answer.status < 300, "status %d, %q", answer.status, answer.body)
						if !way.IsHeadWhole {
							require.Equal(t, 502, answer.status, "the request may have run")
							require.Empty(t, answer.head.Peek("T-Seal"))
						}
					})
				}
			}
		}
	}
}

// Guards against half of an answer that is mixed with the answer of the back end at which the request is tried again.
func TestHalfHeadIsReplacedByAWholeAnswer(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range kind.answer.Ways() {
			if way.IsHeadWhole || kindName != "safe" && kindName != "resumable stream" {
				continue // what follows a whole head is forwarded, and what may run once is not tried again
			}
			t.Run(kindName+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				broken := startBackEnd(t, "broken", serving.StageWhole, writing(way.Text))
				sound := startBackEnd(t, "sound", serving.StageWhole, writing(kind.answer.Whole()))
				answer := newTestRelay(t, route(kind.kind), broken, sound).preferring("broken").client(t).do("GET", "/path/", "")
				require.Equal(t, 200, answer.status)
				require.True(t, answer.isComplete)
				require.Equal(t, kind.answer.Body, answer.body)
				require.Len(t, broken.receivedRequests(), 1)
			})
		}
	}
}

// Guards against the first answer of a kept connection that is taken for a part of the second, whose head stops.
func TestSecondAnswerOfAConnectionMayStopWithinItsHead(t *testing.T) {
	t.Parallel()
	whole := halfhead.Answer{Headers: echoHeaders, Body: "whole answer"}
	for _, way := range whole.Ways() {
		if way.IsHeadWhole {
			continue
		}
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				if request.number == 1 {
					writing(whole.Whole())(connection, request)
					return true
				}
				return writing(way.Text)(connection, request)
			})
			client := newTestRelay(t, route(nil), backEnd).client(t)
			require.Equal(t, whole.Body, client.do("POST", "/path/", "1").body)
			second := client.do("POST", "/path/", "2")
			require.Equal(t, 502, second.status)
			require.Empty(t, second.head.Peek("T-Seal"))
			require.Len(t, backEnd.receivedRequests(), 2)
		})
	}
}

// Guards against heads that arrive in pieces around the size of the read buffer: a whole one must be used, and one that stops there not.
func TestHeadInPiecesAroundTheBufferSize(t *testing.T) {
	t.Parallel()
	const bufferBytes = 4 << 10
	for length := bufferBytes - 40; length <= bufferBytes; length++ {
		answer := halfhead.Answer{Headers: echoHeaders, Body: "whole answer"}
		whole := answer.Padded(length - len("Content-Length: 12\r\n\r\n")).Whole()
		for _, cut := range []int{length - 3, length - 2, length - 1, length} {
			t.Run(fmt.Sprint(length, "/", cut), func(t *testing.T) {
				t.Parallel()
				for isWhole, want := range map[bool]int{true: 200, false: 502} {
					if cut == length && !isWhole {
						continue // the head is whole
					}
					backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
						identity := string(request.head.Peek("T-Id"))
						text := strings.Replace(whole, "T-Id: ID\r\n", "T-Id: "+identity+"\r\n", 1)
						text = strings.Replace(text, strings.Repeat("x", len(identity)-len("ID")), "", 1) // as long as before
						_, _ = connection.Write([]byte(text[:cut]))
						time.Sleep(time.Millisecond)
						if isWhole {
							_, _ = connection.Write([]byte(text[cut:]))
						}
						return false
					})
					client := newTestRelay(t, route(nil), backEnd).client(t)
					client.reader = bufio.NewReaderSize(client.connection, 2*bufferBytes)
					answer := client.do("POST", "/path/", "x")
					require.Equal(t, want, answer.status)
					require.Equal(t, isWhole, answer.body == "whole answer" && answer.isComplete)
				}
			})
		}
	}
}

// Guards against half of the head of an answer without a body that is taken for all of it.
func TestHalfHeadOfAnAnswerWithoutABody(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ method, status string }{
		"HEAD": {"HEAD", "200 OK"}, "no content": {"POST", "204 No Content"}, "not modified": {"POST", "304 Not Modified"},
	} {
		for _, way := range (halfhead.Answer{Status: test.status, Headers: echoHeaders}).Ways() {
			if way.IsHeadWhole {
				continue
			}
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				client := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, writing(way.Text))).client(t)
				client.send(test.method, "/path/", "")
				head, err := readUntilEmptyLine(client)
				require.NoError(t, err)
				require.Contains(t, head, " 502 ")
				require.NotContains(t, head, "seal")
			})
		}
	}
}

// newRelayThatForwards starts a relay that has lost the path to its back ends, and a peer that sends the same text to each request that
// the relay forwards, and ends the connection; ID in the text is replaced by the request's identity.
func newRelayThatForwards(t *testing.T, config serving.Route, text string, end halfhead.End) (*testRelay, *halfhead.Server) {
	t.Helper()
	peer, err := halfhead.Start(func(request *http.Request) halfhead.Reply {
		return halfhead.Reply{Pieces: []string{strings.ReplaceAll(text, "ID", request.Header.Get("T-Id"))}, End: end}
	})
	require.NoError(t, err)
	t.Cleanup(peer.Close)
	relay := newTestRelay(t, config, startThree(t, answering(200, "whole answer"))...)
	relay.setRelays([]string{relay.datagrams.Address, peer.Address()}, nil)
	relay.setRelayFormats([]string{peer.Address()}, []uint32{uint32(formats.Newest)})
	path := breakablePathOf(relay)
	path.relays[peer.Address()] = true
	relay.loseAllPaths(t, path, dialsRefused)
	return relay, peer
}

// Guards against half of an answer of another relay, which ends while it forwards a request, that reaches the client as whole or is
// said not to have run.
func TestHalfHeadOfAForwardingRelay(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range kind.answer.Ways() {
			if way.IsLengthZero {
				continue
			}
			for endName, end := range halfhead.Ends {
				t.Run(strings.Join([]string{kindName, way.Name, endName}, "/"), func(t *testing.T) {
					t.Parallel()
					relay, peer := newRelayThatForwards(t, route(kind.kind), way.Text, end)
					answer := relay.client(t).do("GET", "/path/", "")
					require.NotZero(t, peer.Requests())
					require.False(t, answer.isComplete && answer.status < 300, "status %d, %q", answer.status, answer.body)
					require.NotEqual(t, 503, answer.status, "the request may have run")
				})
			}
		}
	}
}

// ownCall is a call of the relay's own: the answer that confirms it, and a check that the relay does not use one that stops.
type ownCall struct {
	answer halfhead.Answer
	check  func(t *testing.T, relay *testRelay, engine *backEnd, way halfhead.Way)
}

// ownCalls are the calls of the relay's own to engines.
func ownCalls() map[string]ownCall {
	plainHeaders := "Content-Type: application/json\r\n"
	return map[string]ownCall{
		"move": {halfhead.Answer{Headers: plainHeaders, Body: "(handle)"}, func(t *testing.T, relay *testRelay, engine *backEnd, _ halfhead.Way) {
			asked, dialect := &request{id: "1", deadline: relay.clock.now() + time.Minute}, relay.dialect
			dialect.ParseMoveAnswer = func(body []byte) string { // fails for half of an answer
				if handle, isWhole := strings.CutSuffix(strings.TrimPrefix(string(body), "("), ")"); isWhole {
					return handle
				}
				return ""
			}
			copied, handle := relay.exchanger.copyRun(engine, dialect, asked, "address", true)
			require.False(t, copied)
			require.Empty(t, handle)
		}},
		"release": {halfhead.Answer{Headers: plainHeaders, Body: "{}"}, func(t *testing.T, relay *testRelay, engine *backEnd, way halfhead.Way) {
			blocks := []placement.PrefixBlock{{Hash: placement.HashBlock("m", "b"), Tokens: 16}}
			relay.exchanger.release(&remotePrefill{engine: engine, prefixBlocks: blocks}, "/handle/1")
			require.Equal(t, way.IsHeadWhole, engine.cache.lookup(blocks, relay.clock.now()).Ready > 0, "the status says that the call was carried out")
		}},
		"report": {halfhead.Answer{Headers: plainHeaders, Body: "123456"}, func(t *testing.T, relay *testRelay, engine *backEnd, _ halfhead.Way) {
			require.Error(t, relay.readReport(t, engine))
		}},
	}
}

// Guards against calls of the relay's own that take an answer which stops within its head, or before the end of its body, for a
// confirmation or for an answer without content.
func TestOwnCallsDoNotUseHalfAnswers(t *testing.T) {
	t.Parallel()
	for name, call := range ownCalls() {
		for _, way := range call.answer.Ways() {
			for endName, end := range halfhead.Ends {
				t.Run(name+"/"+way.Name+"/"+endName, func(t *testing.T) {
					t.Parallel()
					backEnd := startBackEnd(t, "one", serving.StageDecode, scriptOf(way, end))
					relay := newTestRelay(t, longTimeout(), backEnd)
					call.check(t, relay, relay.engineOf("one"), way)
					require.Len(t, backEnd.receivedRequests(), 1)
				})
			}
		}
	}
}

// Guards against half of an answer to a prefill that is taken for a handle: the decode engine would be told to fetch what is not there.
func TestHalfAnswerToAPrefillIsNotUsed(t *testing.T) {
	t.Parallel()
	wholeHandle := func(body []byte) (PrefillAnswer, error) { // as in a document that has an end of its own
		handle, isWhole := strings.CutSuffix(string(body), ")")
		if !isWhole {
			return PrefillAnswer{}, errUnsupportedAnswer
		}
		return PrefillAnswer{Handle: handle}, nil
	}
	answer := halfhead.Answer{Headers: echoHeaders, Body: "(handle)"}
	for _, way := range answer.Ways() {
		for endName, end := range halfhead.Ends {
			t.Run(way.Name+"/"+endName, func(t *testing.T) {
				t.Parallel()
				broken := startBackEnd(t, "broken", serving.StagePrefill, scriptOf(way, end))
				decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
				relay := newTestRelay(t, longTimeout(stream(true)), broken, decoder)
				relay.dialect.ParsePrefillAnswer = wholeHandle
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
}
