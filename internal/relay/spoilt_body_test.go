package relay

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// chunkedHead is the head of an answer in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"

// spoiltBodies are bodies that no client can use, as the script that sends them after a sound head.
var spoiltBodies = map[string]script{
	"chunk size":      endless(chunkedHead, "z"),
	"chunk extension": endless(chunkedHead+"1;", "x"),
	"chunk end":       endless(chunkedHead+"1\r\n", "x"),
	"trailers":        endless(chunkedHead+"0\r\n", "X-Filler: x\r\n"),
	"one trailer":     endless(chunkedHead+"0\r\nX-Filler: ", "x"),
	"ends early":      writing("HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 10\r\n\r\nhalf"),
	"is reset":        resetting("HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 10\r\n\r\nhalf"),
}

// onceThen returns a script that sends the first request to one script, and later ones to another.
func onceThen(first, later script) script {
	var requests atomic.Int64
	return func(connection net.Conn, request backEndRequest) bool {
		if requests.Add(1) == 1 {
			return first(connection, request)
		}
		return later(connection, request)
	}
}

// requireAvoidedAndBack requires that a back end counts as failed once, is avoided for a time, and is used again until a request
// that it answers ends the failure.
func requireAvoidedAndBack(t *testing.T, relay *testRelay, bad *scriptedBackEnd, request func()) {
	t.Helper()
	record := relay.engineOf(bad.entry.ID)
	load := record.currentLoad(0)
	require.Equal(t, 1, load.failures)
	require.Positive(t, load.avoidUntil)
	require.Eventually(t, func() bool {
		request()
		return len(bad.receivedRequests()) > 1 && record.currentLoad(0).failures == 0
	}, time.Minute, time.Millisecond)
}

// Guards against a back end that goes on to get requests although the bodies of its answers are unusable.
func TestBackEndWithSpoiltBodyIsAvoided(t *testing.T) {
	t.Parallel()
	for name, spoilt := range spoiltBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StageWhole, onceThen(spoilt, answering(200, "whole")))
			sound := startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
			relay := newTestRelay(t, longTimeout(safe), bad, sound).preferring("bad")
			request := func() {
				answer := relay.client(t).do("GET", "/path/", "")
				require.Equal(t, 200, answer.status)
				require.Equal(t, "whole", answer.body)
			}
			request()
			requireAvoidedAndBack(t, relay, bad, request)
		})
	}
}

// Guards against an unsafe request that is sent again, or refused as not run, after an answer with a spoilt body.
func TestSpoiltBodyOfUnsafeRequestIsNoPromise(t *testing.T) {
	t.Parallel()
	for name, spoilt := range spoiltBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StageWhole, spoilt)
			sound := startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
			relay := newTestRelay(t, longTimeout(), bad, sound).preferring("bad")
			require.Equal(t, 502, relay.client(t).do("POST", "/path/", "once").status)
			require.Empty(t, sound.receivedRequests())
			require.Equal(t, 1, relay.engineOf("bad").currentLoad(0).failures)
		})
	}
}

// Guards against an engine that goes on to get streams although it has spoilt one in the midst of its events.
func TestEngineWithSpoiltStreamIsAvoided(t *testing.T) {
	t.Parallel()
	head := strings.ReplaceAll(streamHead, "SEAL", "seal") + string(appendChunk(nil, []byte(eventOne)))
	whole := streaming("seal", eventOne, eventTwo, eventThree)
	for name, spoilt := range map[string]script{
		"chunk size":      endless(head, "z"),
		"chunk extension": endless(head+"1;", "x"),
		"trailers":        endless(head+"0\r\n", "X-Filler: x\r\n"),
		"ends in event":   streaming("seal", eventOne, "cut"),
		"endless event":   endless(head, string(appendChunk(nil, []byte("data: x\n")))),
		"endless line":    endless(head, string(appendChunk(nil, []byte("x")))),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StageWhole, onceThen(spoilt, whole))
			sound := startBackEnd(t, "sound", serving.StageWhole, whole)
			relay := newTestRelay(t, longTimeout(stream(true)), bad, sound).preferring("bad")
			request := func() {
				answer := relay.client(t).do("GET", "/path/", "")
				require.True(t, answer.isComplete)
				require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			}
			request()
			requireAvoidedAndBack(t, relay, bad, request)
		})
	}
}

// Guards against a prefill engine that goes on to get prompts although its answers to prefills are unusable.
func TestPrefillEngineWithSpoiltAnswerIsAvoided(t *testing.T) {
	t.Parallel()
	for name, spoilt := range map[string]script{
		"chunk size":     endless(chunkedHead, "z"),
		"endless chunks": endless(chunkedHead, "1\r\nx\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StagePrefill, spoilt)
			decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
			relay := newTestRelay(t, longTimeout(stream(true)), bad, decoder)
			answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
			require.Equal(t, eventOne, answer.body)
			require.Len(t, bad.receivedRequests(), 1)
			require.Equal(t, 1, relay.engineOf("bad").currentLoad(0).failures)
		})
	}
}
