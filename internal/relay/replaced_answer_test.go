package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a whole error answer of a back end that is dropped for a second attempt which brings no answer: the client
// got 502 or 504 from the relay instead.
func TestErrorAnswerIsForwardedWhenItsReplacementFails(t *testing.T) {
	for name, second := range map[string]script{
		"refused":         refusing(503),
		"reset":           resetting(""),
		"closed":          writing(""),
		"cut in the body": writing(brokenHead + "Content-Length: 9\r\n\r\nshort"),
		"too late":        func(net.Conn, backEndRequest) bool { <-t.Context().Done(); return false },
	} {
		for kindName, kind := range map[string]func(*serving.Route){"safe": safe, "resumable stream": stream(true)} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				t.Parallel()
				failing := startBackEnd(t, "failing", serving.StageWhole, answering(500, "failed", "Custom: kept"))
				other := startBackEnd(t, "other", serving.StageWhole, second)
				relay := newTestRelay(t, route(func(r *serving.Route) { kind(r); r.Timeout = time.Second }), failing, other).preferring("failing")
				answer := relay.client(t).do("POST", "/path/", "x")
				require.Equal(t, 500, answer.status)
				require.True(t, answer.isComplete)
				require.Equal(t, "failed", answer.body)
				require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
				require.Equal(t, "kept", string(answer.head.Peek("Custom")))
				require.Len(t, other.receivedRequests(), 1)
			})
		}
	}
}

// Guards against a kept 503, which says that the request was not run, for a request that is not idempotent and that a second
// back end may have run.
func TestKeptAnswerDoesNotDenyASecondRun(t *testing.T) {
	for kindName, test := range map[string]struct {
		kind   func(*serving.Route)
		status int
	}{"safe": {safe, 503}, "resumable stream": {stream(true), 502}} {
		t.Run(kindName, func(t *testing.T) {
			failing := startBackEnd(t, "failing", serving.StageWhole, answering(503, "failed"))
			other := startBackEnd(t, "other", serving.StageWhole, resetting(""))
			relay := newTestRelay(t, route(test.kind), failing, other).preferring("failing")
			require.Equal(t, test.status, relay.client(t).do("POST", "/path/", "x").status)
			require.Len(t, other.receivedRequests(), 1)
		})
	}
}
