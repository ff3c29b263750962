package relay

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// silentForGood reads the request and answers nothing until the test ends.
func silentForGood(t *testing.T) script {
	return func(net.Conn, backEndRequest) bool { <-t.Context().Done(); return false }
}

// failedReplacements are the ways in which a back end that was connected to may fail to answer. Those in streams are for streams
// alone.
func failedReplacements(t *testing.T) (anyAnswer, inStreams map[string]script) {
	const halfBody = "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: second\r\nContent-Length: 100\r\n\r\nhalf"
	head := strings.NewReplacer("SEAL", "second").Replace(streamHead)
	afterHead := func(connection net.Conn, request backEndRequest) bool {
		writing(head)(connection, request)
		return silentForGood(t)(connection, request)
	}
	return map[string]script{
			"503":                       refusing(503),
			"503 with a rest":           answering(503, "", "T-Not-Run: 1", "Retry-After: 3"),
			"503 that may have run":     answering(503, "busy"),
			"429":                       refusing(429),
			"429 that may have run":     answering(429, "busy"),
			"421":                       refusing(421),
			"408":                       refusing(408),
			"500":                       answering(500, "failed"),
			"closed before its head":    writing(""),
			"reset before its head":     resetting(""),
			"reset within its body":     resetting(halfBody),
			"closed within its body":    writing(halfBody),
			"no answer to this request": writing("HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 0\r\n\r\n"),
			"silent":                    silentForGood(t),
		}, map[string]script{
			"silent after its head":      afterHead,
			"reset after its head":       resetting(head),
			"cut within its first event": resetting(head + "6\r\nid: 1\n\r\n"),
			"ended without an event":     writing(strings.Replace(head, "Transfer-Encoding: chunked\r\n", "", 1)),
		}
}

// Guards against a silence that ends an answer for a back end which then does not answer, in each way in which it may fail to.
func TestSilentAnswerOutlivesEachFailureOfItsReplacement(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		failures, inStreams := failedReplacements(t)
		if kind.body != "whole" {
			for name, failure := range inStreams {
				failures[name] = failure
			}
		}
		for name, failure := range failures {
			t.Run(kind.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				scene, answer := silentSetup{secondAnswer: failure}.serveSilently(t, kind)
				require.Equal(t, 200, answer.status)
				require.True(t, answer.isComplete, "the answer was cut")
				require.Equal(t, kind.body, answer.body)
				require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
				require.Len(t, scene.second.receivedRequests(), 1)
			})
		}
	}
}

// silentWithin serves a request at a back end that falls silent within its answer until the returned function is called, or until
// the relay closes the connection, which closes the channel left.
func silentWithin(kind silentAnswer) (answer script, goOn func(), left <-chan struct{}) {
	goesOn, closed := make(chan struct{}), make(chan struct{})
	return func(connection net.Conn, request backEndRequest) bool {
		kind.answer(connection, request, func() {
			go func() {
				_, _ = connection.Read(make([]byte, 1)) // the relay sends nothing more before it closes the connection
				close(closed)
			}()
			select {
			case <-goesOn:
			case <-closed:
			}
		})
		return false
	}, sync.OnceFunc(func() { close(goesOn) }), closed
}

// Guards against two back ends that go on working on one request: the silent one is left once the other one answers.
func TestSilentBackEndIsLeftWhenItsReplacementAnswers(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			answer, _, left := silentWithin(kind)
			first := startBackEnd(t, "first", serving.StageWhole, answer)
			second := startBackEnd(t, "second", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				if kind.body == "whole" {
					return kind.sound(connection, request)
				}
				streaming("second", eventOne, eventTwo)(connection, request)
				<-left // before the end of the second answer
				return false
			})
			relay := newTestRelay(t, route(kind.route), first, second).preferring("first")
			relay.engineOf("second").removeWork(placement.Work{Streams: 50})
			relay.engineOf("second").addWork(placement.Work{Streams: 5})
			result := relay.client(t).do("POST", "/path/", "x")
			require.True(t, result.isComplete)
			<-left
		})
	}
}

// Guards against a replacement that goes on working on a request which the silent back end answers after all, and against an answer
// with parts of both.
func TestReplacementIsLeftWhenTheSilentBackEndGoesOn(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			answer, goOn, _ := silentWithin(kind)
			left := make(chan struct{})
			first := startBackEnd(t, "first", serving.StageWhole, answer)
			second := startBackEnd(t, "second", serving.StageWhole, func(connection net.Conn, _ backEndRequest) bool {
				goOn()
				_, _ = connection.Read(make([]byte, 1))
				close(left)
				return false
			})
			relay := newTestRelay(t, route(kind.route), first, second)
			relay.engineOf("second").addWork(placement.Work{Streams: 5})
			result := relay.client(t).do("POST", "/path/", "x")
			require.True(t, result.isComplete, "the answer was cut")
			require.Equal(t, kind.body, result.body)
			<-left
			require.Eventually(t, func() bool { return relay.engineOf("second").currentLoad(0).ownWork.Streams == 5 }, time.Minute, time.Millisecond,
				"the replacement is counted at its back end")
			require.Zero(t, relay.engineOf("second").currentLoad(0).failures, "the back end has not failed")
		})
	}
}

// Guards against a replacement that is given up with the silent exchange when that breaks.
func TestReplacementAnswersWhenTheSilentBackEndBreaks(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			isAsked, isBroken := make(chan struct{}), make(chan struct{})
			first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				kind.answer(connection, request, func() {
					<-isAsked
					_ = connection.(*net.TCPConn).SetLinger(0)
					_ = connection.Close()
					close(isBroken)
				})
				return false
			})
			second := startBackEnd(t, "second", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				close(isAsked)
				<-isBroken
				time.Sleep(20 * time.Millisecond) // the relay has noticed the break by then
				return kind.sound(connection, request)
			})
			relay := newTestRelay(t, route(kind.route), first, second)
			relay.engineOf("second").addWork(placement.Work{Streams: 5})
			result := relay.client(t).do("POST", "/path/", "x")
			require.True(t, result.isComplete, "the answer was cut")
			require.Equal(t, kind.body, result.body)
			require.Len(t, second.receivedRequests(), 1)
		})
	}
}

// Guards against more attempts than the route allows, and against retries beyond the budget: a refused replacement counts.
func TestRefusedReplacementCountsAsAttempt(t *testing.T) {
	t.Parallel()
	for attempts, expected := range map[int]int{2: 1, 3: 2} {
		var relay *testRelay
		first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
			relay.awaitNoticedSilence(t, "first", 4*silenceAfterNotice)
			return false // broken off, after which no attempt is left
		})
		others := []*scriptedBackEnd{startBackEnd(t, "second", serving.StageWhole, refusing(503)), startBackEnd(t, "third", serving.StageWhole, refusing(503))}
		relay = newTestRelay(t, route(func(r *serving.Route) { safe(r); r.MaxAttempts = attempts }), first, others[0], others[1])
		for _, id := range []string{"second", "third"} {
			relay.engineOf(id).addWork(placement.Work{Streams: 5})
		}
		left := relay.budget.MinLeft(relay.clock.now())
		require.Equal(t, 502, relay.client(t).do("POST", "/path/", "x").status)
		require.Equal(t, expected, len(others[0].receivedRequests())+len(others[1].receivedRequests()), "%d attempts", attempts)
		require.InDelta(t, left+0.85-float64(expected), relay.budget.MinLeft(relay.clock.now()), 0.01, "one request allows 0.85 retries")
	}
}

// Guards against a request that waits for two silent back ends while the route allows a third one.
func TestSilentReplacementIsReplacedWhereTheRouteAllowsIt(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			answer, _, left := silentWithin(kind)
			first := startBackEnd(t, "first", serving.StageWhole, answer)
			second := startBackEnd(t, "second", serving.StageWhole, silentForGood(t))
			third := startBackEnd(t, "third", serving.StageWhole, kind.sound)
			relay := newTestRelay(t, route(func(r *serving.Route) { kind.route(r); r.MaxAttempts = 3 }), first, second, third)
			relay.engineOf("second").addWork(placement.Work{Streams: 4})
			relay.engineOf("third").addWork(placement.Work{Streams: 6})
			result := relay.client(t).do("POST", "/path/", "x")
			require.True(t, result.isComplete)
			require.Equal(t, kind.body, result.body)
			require.Len(t, second.receivedRequests(), 1)
			<-left
		})
	}
}

// Guards against several streams of a silent engine that are all ended for another engine, which asks for a rest: each relay
// sees it as free, and it refuses them at the same moment.
func TestSilentStreamsOutliveAnEngineThatAsksForARest(t *testing.T) {
	t.Parallel()
	const streams = 6
	var relay *testRelay
	first := startBackEnd(t, "first", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		silentAnswers()[0].answer(connection, request, func() { relay.awaitNoticedSilence(t, "first", silenceAfterNotice) })
		return true
	})
	second := startBackEnd(t, "second", serving.StageDecode, answering(503, "", "T-Not-Run: 1", "Retry-After: 3"))
	relay = newTestRelay(t, route(func(r *serving.Route) { stream(true)(r); r.Timeout = time.Minute }), first, second)
	relay.engineOf("second").addWork(placement.Work{Streams: 7})
	clients := make([]*testClient, streams)
	for index := range clients {
		clients[index] = relay.client(t)
		clients[index].send("POST", "/path/", "x")
	}
	require.Eventually(t, func() bool { return len(first.receivedRequests()) == streams }, time.Minute, time.Millisecond)
	relay.engineOf("second").removeWork(placement.Work{Streams: 7})
	for _, client := range clients {
		answer := client.read()
		require.True(t, answer.isComplete, "the stream was cut")
		require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
	}
	require.NotEmpty(t, second.receivedRequests())
}

// Guards against a client that leaves while replacements work on its request, one of which is the current attempt since the first
// back end has broken off.
func TestClientThatLeavesEndsAllAttempts(t *testing.T) {
	t.Parallel()
	for name, breaksOff := range map[string]bool{"the first one is silent": false, "the first one has broken off": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked, left atomic.Int64
			untilLeft := func(connection net.Conn, _ backEndRequest) bool {
				asked.Add(1)
				_, _ = connection.Read(make([]byte, 1))
				left.Add(1)
				return false
			}
			first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				if !breaksOff {
					return untilLeft(connection, request)
				}
				require.Eventually(t, func() bool { return asked.Load() == 1 }, time.Minute, time.Millisecond)
				return false
			})
			others := []*scriptedBackEnd{startBackEnd(t, "second", serving.StageWhole, untilLeft), startBackEnd(t, "third", serving.StageWhole, untilLeft)}
			relay := newTestRelay(t, route(func(r *serving.Route) { safe(r); r.Timeout, r.MaxAttempts = time.Hour, 3 }), first, others[0], others[1])
			for _, id := range []string{"second", "third"} {
				relay.engineOf(id).addWork(placement.Work{Streams: 5})
			}
			client := relay.client(t)
			client.send("POST", "/path/", "x")
			require.Eventually(t, func() bool { return asked.Load() >= 2 }, time.Minute, time.Millisecond)
			require.NoError(t, client.connection.Close())
			require.Eventually(t, func() bool { return left.Load() == asked.Load() && relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// Guards against a stream that is taken for one of its replacement's software version: the version is recorded before the first
// event, and the silent engine goes on.
func TestRefusedReplacementDoesNotChangeTheSoftwareVersion(t *testing.T) {
	t.Parallel()
	isAsked := make(chan struct{})
	first := ofSoftware("v1", startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		if string(request.head.Peek("T-Last")) != "" {
			return resuming("first")(connection, request)
		}
		<-isAsked
		_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead))
		_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
		return false
	}))
	second := ofSoftware("v2", startBackEnd(t, "second", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		if string(request.head.Peek("T-Last")) != "" {
			return resuming("second")(connection, request)
		}
		close(isAsked)
		return silentForGood(t)(connection, request)
	}))
	relay := newTestRelay(t, route(stream(true)), first, second).preferring("first")
	relay.engineOf("second").removeWork(placement.Work{Streams: 45})
	require.False(t, relay.client(t).do("POST", "/path/", "x").isComplete, "no attempt is left for the broken stream")
	relay.preferring("second")
	answer := relay.client(t).do("POST", "/path/", "x", "T-Last: 1", "T-Resumes: id-1")
	require.Equal(t, "first", string(answer.head.Peek("T-Seal")))
	require.Equal(t, eventTwo+eventThree, answer.body)
}
