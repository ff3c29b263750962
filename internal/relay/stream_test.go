package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const streamHead = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: SEAL\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// streaming returns a script that sends events as chunks; "cut" breaks the stream off within an event.
func streaming(seal string, events ...string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", seal).Replace(streamHead)
		_, _ = io.WriteString(connection, head)
		for _, event := range events {
			if event == "cut" {
				_, _ = connection.Write(appendChunk(nil, []byte("id: 99\ndata: ha")))
				return false
			}
			_, _ = connection.Write(appendChunk(nil, []byte(event)))
		}
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		return true
	}
}

func stream(resumable bool) func(*serving.Route) {
	return func(r *serving.Route) { r.Kind, r.Resumable = serving.KindStream, resumable }
}

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

// preferring adds work to all other back ends, so that the given one is selected first.
func (r *testRelay) preferring(id string) *testRelay {
	for _, backEnd := range r.view.Load().byService["service"] {
		if backEnd.ID != id {
			backEnd.addWork(placement.Work{Streams: 50})
		}
	}
	return r
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, streaming("first", eventOne, eventTwo+eventThree))
	answer := newTestRelay(t, route(stream(false)), backEnd).client(t).do("GET", "/path/", "")
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
	require.True(t, answer.isComplete)
}

func TestBrokenStreamContinuesAtAnotherBackEnd(t *testing.T) {
	first := startBackEnd(t, "first", serving.StageWhole, streaming("first", eventOne, "cut"))
	second := startBackEnd(t, "second", serving.StageWhole, streaming("second", eventOne, eventTwo, eventThree))
	relay := newTestRelay(t, route(stream(true)), first, second).preferring("first")
	answer := relay.client(t).do("GET", "/path/", "")
	require.True(t, answer.isComplete)
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body, "no duplicate, missing or partial events")
	require.Equal(t, "first", string(answer.head.Peek("T-Seal")))
	require.Equal(t, "1", string(second.receivedRequests()[0].head.Peek("T-Last")))
}

func TestBrokenUnrepeatableStreamLooksIncomplete(t *testing.T) {
	first := startBackEnd(t, "first", serving.StageWhole, streaming("first", eventOne, "cut"))
	second := startBackEnd(t, "second", serving.StageWhole, streaming("second", eventTwo))
	relay := newTestRelay(t, route(stream(false)), first, second).preferring("first")
	answer := relay.client(t).do("GET", "/path/", "")
	require.False(t, answer.isComplete)
	require.Equal(t, eventOne, answer.body)
	require.Empty(t, second.receivedRequests())
}

// Guards against an event that is held back because the beginning of the next one has arrived with it.
func TestEventIsNotHeldBackByTheBeginningOfTheNext(t *testing.T) {
	next := make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead)
		_, _ = io.WriteString(connection, head)
		_, _ = connection.Write(appendChunk(nil, []byte(eventOne+eventTwo[:8])))
		<-next
		_, _ = connection.Write(appendChunk(nil, []byte(eventTwo[8:])))
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	client := newTestRelay(t, route(stream(false)), backEnd).client(t)
	client.send("GET", "/path/", "")
	require.NoError(t, client.connection.SetReadDeadline(time.Now().Add(10*time.Second)))
	readUntil(t, client.reader, eventOne)
	close(next)
	readUntil(t, client.reader, "0\r\n\r\n")
}

func TestStreamBrokenBeforeItsFirstEvent(t *testing.T) {
	for resumable, want := range map[bool]int{true: 200, false: 502} {
		first := startBackEnd(t, "first", serving.StageWhole, streaming("first", "cut"))
		second := startBackEnd(t, "second", serving.StageWhole, streaming("second", eventOne))
		relay := newTestRelay(t, route(stream(resumable)), first, second).preferring("first")
		answer := relay.client(t).do("GET", "/path/", "")
		require.Equal(t, want, answer.status)
		require.True(t, answer.isComplete)
		if resumable {
			require.Equal(t, "second", string(answer.head.Peek("T-Seal")))
		}
	}
}

func TestClientResumesAtItsLastEvent(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, streaming("first", eventTwo, eventThree))
	client := newTestRelay(t, route(stream(true)), backEnd).client(t)
	answer := client.do("GET", "/path/", "", "T-Last: 1")
	require.Equal(t, eventTwo+eventThree, answer.body)
	require.Equal(t, "1", string(backEnd.receivedRequests()[0].head.Peek("T-Last")))
}

// longPrompt declares a prompt that is long enough for a prefill engine.
var longPrompt = []string{"T-Model: m", "T-Tokens: 9000,50", "T-Parts: aa:6000,bb:3000"}

func TestLongPromptIsPrefilledAtAPrefillEngine(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle-7"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	answer := newTestRelay(t, route(stream(false)), reader, decoder).client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, eventOne, answer.body)
	require.Equal(t, "read", string(reader.receivedRequests()[0].head.Peek("T-Stage")))
	request := decoder.receivedRequests()[0]
	require.Equal(t, reader.entry.Address+"/handle-7", string(request.head.Peek("T-Source")))
	require.Empty(t, request.head.Peek("T-Stage"))
	require.Equal(t, "aa:6000,bb:3000", string(request.head.Peek("T-Parts")))
}

func TestShortPromptIsPrefilledByAnIdleDecodingEngine(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	answer := newTestRelay(t, route(stream(false)), reader, decoder).client(t).do("POST", "/path/", "x", "T-Tokens: 300,5", "T-Parts: aa:100,bb:200")
	require.Equal(t, eventOne, answer.body)
	require.Empty(t, reader.receivedRequests())
}

// A failed prefill must not end the request when the route allows another attempt.
func TestFailedPrefills(t *testing.T) {
	for name, test := range map[string]struct {
		reader   script
		attempts int
		status   int
	}{
		"rejected, one attempt":  {refusing(503), 1, 503},
		"rejected, two attempts": {refusing(503), 2, 200},
		"broken":                 {writing(""), 1, 200},
		"no handle":              {answering(500, "failed"), 1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			reader := startBackEnd(t, "reader", serving.StagePrefill, test.reader)
			decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
			config := route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = test.attempts })
			answer := newTestRelay(t, config, reader, decoder).client(t).do("POST", "/path/", "x", longPrompt...)
			require.Equal(t, test.status, answer.status)
			if test.status == 200 {
				require.Empty(t, decoder.receivedRequests()[0].head.Peek("T-Source"))
			} else {
				require.Empty(t, decoder.receivedRequests())
			}
		})
	}
}

func TestExpiredHandleCausesAnotherPrefill(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	lapsed := startBackEnd(t, "lapsed", serving.StageDecode, refusing(503))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, lapsed, decoder)
	relay.engineOf("decoder").addWork(placement.Work{Streams: 1}) // so that the other engine is selected first
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Len(t, lapsed.receivedRequests(), 1)
	require.Equal(t, eventOne, answer.body)
	require.Empty(t, decoder.receivedRequests()[0].head.Peek("T-Source"), "a handle serves once")
}

// The release of an unused prefill is an internal call of the relay, so it has no request identity.
func TestUnusedHandleIsReleased(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle-9"))
	answer := newTestRelay(t, route(stream(false)), reader).client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, 503, answer.status)
	require.Eventually(t, func() bool { return len(reader.receivedRequests()) == 2 }, time.Minute, time.Millisecond)
	released := reader.receivedRequests()[1]
	require.Equal(t, "DELETE /handle/handle-9", released.line)
	require.Empty(t, released.head.Peek("T-Id"))
}

// When a long prompt loses its decoding engine, the next engine fetches the prompt from the engine that prefilled it. When that
// engine has failed too, the prompt is not prefilled by a decoding engine, whose streams would stall meanwhile.
func TestLongPromptIsNotMovedToABusyEngine(t *testing.T) {
	for _, readerFails := range []bool{false, true} {
		var relay *testRelay
		reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
		broken := startBackEnd(t, "broken", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
			if readerFails {
				relay.engineOf("reader").recordFailure(relay.clock.now())
			}
			return streaming("broken", "cut")(connection, request)
		})
		busy := startBackEnd(t, "busy", serving.StageDecode, streaming("busy", eventOne))
		relay = newTestRelay(t, route(stream(true)), reader, broken, busy).preferring("broken")
		relay.engineOf("busy").addWork(placement.PrefillWork(10_000, 0))
		answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
		if readerFails {
			require.Equal(t, 502, answer.status)
			require.Empty(t, busy.receivedRequests())
			continue
		}
		require.Equal(t, eventOne, answer.body)
		require.Equal(t, reader.entry.Address, string(busy.receivedRequests()[0].head.Peek("T-Fetch")))
		require.Empty(t, busy.receivedRequests()[0].head.Peek("T-Source"), "a handle serves once")
	}
}

// After a failed prefill, a long prompt is not prefilled by a decoding engine with streams. The request was not run, so its
// client is asked to retry.
func TestLongPromptIsNotReadBesideStreams(t *testing.T) {
	for streams, status := range map[int]int{placement.DefaultParameters().MaxPausedStreams: 200, placement.DefaultParameters().MaxPausedStreams + 1: 503} {
		reader := startBackEnd(t, "reader", serving.StagePrefill, writing(""))
		decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
		relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), reader, decoder)
		relay.engineOf("decoder").addWork(placement.Work{Streams: streams})
		answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
		require.Equal(t, status, answer.status)
		if status == 503 {
			require.NotEmpty(t, answer.head.Peek("Retry-After"))
			require.Empty(t, decoder.receivedRequests())
		}
	}
}

// A prompt that would wait for a long time is refused at once, with the time after which to retry.
func TestPromptBehindALongQueueIsRefusedAtOnce(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(true)), reader, decoder)
	for _, backEnd := range relay.view.Load().byService["service"] {
		if backEnd.ID == "reader" {
			backEnd.addWork(placement.PrefillWork(100_000, 0).Plus(placement.Work{Prefills: 5}))
		}
	}
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, 503, answer.status)
	require.NotEmpty(t, answer.head.Peek("Retry-After"))
	require.Empty(t, reader.receivedRequests())
	require.Empty(t, decoder.receivedRequests())
}

// A second prefill counts as an attempt, so it is made only when one attempt is left for the run.
func TestFailedPrefillIsRetriedWithinTheAttemptLimit(t *testing.T) {
	for attempts, source := range map[int]bool{1: false, 2: true} {
		broken := startBackEnd(t, "broken", serving.StagePrefill, writing(""))
		reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
		decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
		config := route(func(r *serving.Route) { stream(true)(r); r.MaxAttempts = attempts })
		relay := newTestRelay(t, config, broken, reader, decoder)
		for _, backEnd := range relay.view.Load().byService["service"] {
			if backEnd.ID == "reader" {
				backEnd.addWork(placement.PrefillWork(5000, 0))
			}
		}
		answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
		require.Equal(t, eventOne, answer.body)
		require.Equal(t, source, len(decoder.receivedRequests()[0].head.Peek("T-Source")) > 0, "attempts %d", attempts)
		require.Len(t, reader.receivedRequests(), attempts-1)
	}
}
