package relay

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// endlessAnswers are answers without end, of every format.
func endlessAnswers() map[string]script {
	answers := map[string]script{
		"informational heads": endless("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		"header lines":        endless("HTTP/1.1 200 OK\r\nT-Id: ID\r\n", "X-Filler: x\r\n"),
		"one header line":     endless("HTTP/1.1 200 OK\r\nT-Id: ID\r\nX-Filler: ", "x"),
		"status line":         endless("HTTP/1.1 200 ", "O"),
		"no HTTP":             endless("", "\x00\xff"),
		"line feeds":          endless("", "\r\n"),
	}
	for name, body := range spoiltBodies {
		answers[name] = body
	}
	return answers
}

// Guards against requests that a sound back end does not serve while most of its service sends bytes without end, and against a
// back end that gets more than its share of them.
func TestRequestsAreServedWhileMostBackEndsSendEndlessBytes(t *testing.T) {
	t.Parallel()
	const clients, requestsPerClient = 6, 10
	for name, spoilt := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := []*scriptedBackEnd{
				startBackEnd(t, "bad-1", serving.StageWhole, spoilt), startBackEnd(t, "bad-2", serving.StageWhole, spoilt), startBackEnd(t, "bad-3", serving.StageWhole, spoilt),
			}
			sound := startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
			config := longTimeout(safe, func(config *serving.Route) { config.MaxAttempts = len(bad) + 1 })
			relay := newTestRelay(t, config, append([]*scriptedBackEnd{sound}, bad...)...)
			var group sync.WaitGroup
			var served atomic.Int64
			for range clients {
				group.Go(func() {
					for range requestsPerClient {
						if relay.client(t).do("GET", "/path/", "").body == "whole" {
							served.Add(1)
						}
					}
				})
			}
			group.Wait()
			require.EqualValues(t, clients*requestsPerClient, served.Load())
			for _, each := range bad {
				require.LessOrEqual(t, len(each.receivedRequests()), clients*requestsPerClient/(len(bad)+1), "more than an even share")
			}
		})
	}
}

// Guards against a request that is held, or refused as not run, when all back ends of its service send bytes without end.
func TestAnswersAreTrueWhileAllBackEndsSendEndlessBytes(t *testing.T) {
	t.Parallel()
	for name, spoilt := range endlessAnswers() {
		for kind, change := range map[string]func(*serving.Route){"safe": safe, "unsafe": func(*serving.Route) {}, "stream": stream(true)} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				relay := newTestRelay(t, longTimeout(change), startBackEnd(t, "one", serving.StageWhole, spoilt), startBackEnd(t, "two", serving.StageWhole, spoilt))
				answer := relay.client(t).do("POST", "/path/", "x")
				require.Equal(t, 502, answer.status, "the request may have run, and its time is not over")
			})
		}
	}
}
