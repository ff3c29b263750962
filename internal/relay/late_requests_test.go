package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// stopGrace is the grace period of the relays that stop in these tests.
const stopGrace = 2 * time.Second

// startStop begins a planned stop of a relay. The channel is closed when the relay would exit.
func (r *testRelay) startStop(t *testing.T) <-chan struct{} {
	t.Helper()
	r.settings.GracePeriod = stopGrace
	listener, err := net.Listen("tcp", "127.0.0.1:0") // stands for the one for clients
	require.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		r.drain(t.Context(), listener)
		close(stopped)
	}()
	require.Eventually(t, r.stopping.Load, time.Minute, time.Millisecond)
	return stopped
}

// stopKinds are the kinds of routes whose requests meet a stop.
var stopKinds = map[string]func(*serving.Route){"unsafe": unsafePlain, "safe": safe, "stream": stream(false), "resumable stream": stream(true)}

// sendSlowly sends a request, whose last byte it holds back until it is told to go on.
func (c *testClient) sendSlowly(goOn func()) {
	c.t.Helper()
	_, err := io.WriteString(c.connection, "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: id-1\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(c.t, err)
	goOn()
	_, err = io.WriteString(c.connection, "y")
	require.NoError(c.t, err)
}

// Guards against requests that are cut without an answer at the end of a planned stop, because their back end does not answer in time.
func TestRequestsAreAnsweredBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	for name, kind := range stopKinds {
		for _, delivery := range deliveries {
			t.Run(name+"/"+delivery.name, func(t *testing.T) {
				t.Parallel()
				arrived, end := make(chan struct{}, 9), make(chan struct{})
				t.Cleanup(func() { close(end) })
				relay := delivery.start(t, longTimeout(kind, func(config *serving.Route) { config.MaxAttempts = 1 }), startThree(t, func(net.Conn, backEndRequest) bool {
					arrived <- struct{}{}
					<-end
					return false
				})...)
				client := relay.client(t)
				client.send("POST", "/path/", "x")
				<-arrived
				stopped := relay.startStop(t)
				answer := client.read()
				require.Equal(t, 502, answer.status, "it may have run")
				require.True(t, answer.isComplete)
				<-stopped
			})
		}
	}
}

// Guards against requests that come late in a planned stop, and are passed on though there is no time for them: on a connection that was
// in use, and with a body that was long on the way.
func TestLateRequestsAreRefusedByAStoppingRelay(t *testing.T) {
	t.Parallel()
	for name, kind := range stopKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "whole"))
			relay := newTestRelay(t, route(kind), backEnd)
			used := relay.client(t)
			require.Equal(t, 200, used.do("POST", "/path/", "x").status)
			var stopped <-chan struct{}
			slow := relay.client(t)
			slow.sendSlowly(func() {
				stopped = relay.startStop(t)
				time.Sleep(stopGrace / 2)
			})
			answer := slow.read()
			require.Equal(t, 503, answer.status)
			require.True(t, answer.head.ConnectionClose())
			require.NotEmpty(t, answer.head.Peek("Retry-After"))
			require.Len(t, backEnd.receivedRequests(), 1)
			<-stopped
		})
	}
}

// Guards against a request that reaches another back end at the end of a planned stop, since the first one has refused it so late: the
// stop would cut it there.
func TestNoBackEndGetsARequestAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	for name, kind := range stopKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refuse, end := make(chan struct{}), make(chan struct{})
			t.Cleanup(func() { close(end) })
			var backEnds []*scriptedBackEnd
			arrived := make(chan struct{}, 9)
			for number := range 3 {
				backEnds = append(backEnds, startBackEnd(t, fmt.Sprint(number), serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
					arrived <- struct{}{}
					select {
					case <-refuse:
					case <-end:
					}
					return refusing(503)(connection, request)
				}))
			}
			noReplacement := func(config *serving.Route) { config.TargetGap = time.Minute } // during the silence of the first one
			relay := newTestRelay(t, longTimeout(kind, noReplacement), backEnds...)
			client := relay.client(t)
			client.send("POST", "/path/", "x")
			<-arrived
			stopped := relay.startStop(t)
			time.Sleep(stopGrace * 85 / 100)
			close(refuse)
			answer := client.read()
			require.Equal(t, 503, answer.status, "it was not run")
			require.NotEmpty(t, answer.head.Peek("Retry-After"))
			require.Len(t, allRequests(backEnds), 1)
			<-stopped
		})
	}
}

// Guards against a stream that looks whole when a planned stop ends it.
func TestStreamThatAStopEndsIsIncomplete(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{"chunks": strings.ReplaceAll(streamHead, "SEAL", "seal") + string(appendChunk(nil, []byte(eventOne))), "without a length": unframedStreamHead + eventOne} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			t.Cleanup(func() { close(end) })
			relay := newTestRelay(t, longTimeout(stream(false)), startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				_, _ = io.WriteString(connection, strings.ReplaceAll(head, "ID", string(request.head.Peek("T-Id"))))
				<-end
				return false
			}))
			client := relay.client(t)
			client.send("POST", "/path/", "x")
			_, err := client.reader.Peek(1)
			require.NoError(t, err)
			stopped := relay.startStop(t)
			answer := client.read()
			require.Equal(t, eventOne, answer.body)
			require.False(t, answer.isComplete)
			require.Equal(t, "broken", answer.end.String())
			<-stopped
		})
	}
}
