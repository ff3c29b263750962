package relay

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// endless returns a script that writes a beginning, and then the same unit until the relay closes the connection. ID in the
// beginning is replaced by the request's identity.
func endless(beginning, unit string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		_, err := io.WriteString(connection, strings.ReplaceAll(beginning, "ID", string(request.head.Peek("T-Id"))))
		const unitsPerWrite = 64
		for err == nil {
			_, err = io.WriteString(connection, strings.Repeat(unit, unitsPerWrite))
		}
		return false
	}
}

// longTimeout returns a route whose time is never over within a test.
func longTimeout(changes ...func(*serving.Route)) serving.Route {
	twoAttempts := func(config *serving.Route) { config.MaxAttempts = 2 }
	return patient(append([]func(*serving.Route){twoAttempts}, changes...)...)
}

// Guards against a request that is held until its deadline by a back end which sends informational heads without end.
func TestEndlessInformationalHeadsAreGivenUp(t *testing.T) {
	t.Parallel()
	for name, unit := range map[string]string{
		"continue":    "HTTP/1.1 100 Continue\r\n\r\n",
		"early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"long":        "HTTP/1.1 102 Processing\r\nX-Filler: " + strings.Repeat("x", 3<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("safe", func(t *testing.T) {
				t.Parallel()
				bad, sound := startBackEnd(t, "bad", serving.StageWhole, endless("", unit)), startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
				answer := newTestRelay(t, longTimeout(safe), bad, sound).preferring("bad").client(t).do("GET", "/path/", "")
				require.Equal(t, 200, answer.status)
				require.Equal(t, "whole", answer.body)
				require.Len(t, bad.receivedRequests(), 1)
			})
			t.Run("unsafe", func(t *testing.T) {
				t.Parallel()
				bad, sound := startBackEnd(t, "bad", serving.StageWhole, endless("", unit)), startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
				answer := newTestRelay(t, longTimeout(), bad, sound).preferring("bad").client(t).do("POST", "/path/", "once")
				require.Equal(t, 502, answer.status, "the answer must not promise that the request was not run")
				require.Len(t, bad.receivedRequests(), 1)
				require.Empty(t, sound.receivedRequests())
			})
			t.Run("stream", func(t *testing.T) {
				t.Parallel()
				head := strings.NewReplacer("SEAL", "seal").Replace(streamHead)
				whole := string(appendChunk(nil, []byte(eventOne+eventTwo))) + "0\r\n\r\n"
				bad, sound := startBackEnd(t, "bad", serving.StageWhole, endless("", unit)), startBackEnd(t, "sound", serving.StageWhole, writing(head+whole))
				answer := newTestRelay(t, longTimeout(stream(true)), bad, sound).preferring("bad").client(t).do("GET", "/path/", "")
				require.True(t, answer.isComplete)
				require.Equal(t, eventOne+eventTwo, answer.body)
			})
		})
	}
}

// Guards against a sound answer that is given up because some informational heads precede it.
func TestAnswerAfterInformationalHeadsIsUsed(t *testing.T) {
	t.Parallel()
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		_, _ = io.WriteString(connection, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10))
		writeAnswer(connection, request, 200, "whole")
		return true
	})
	answer := newTestRelay(t, longTimeout(), backEnd).client(t).do("POST", "/path/", "once")
	require.Equal(t, 200, answer.status)
	require.Equal(t, "whole", answer.body)
}
