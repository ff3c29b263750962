package relay

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/retrybudget"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// silenceAfterNotice is how long a test back end stays silent after the relay has recorded its silence. With the limit of
// the watch, 0.9 to 1.0 s here, a silence lasts for 1.3 to 1.4 s.
const silenceAfterNotice = 400 * time.Millisecond

// silentAnswer is one kind of answer, and where its back end falls silent.
type silentAnswer struct {
	name  string
	route func(*serving.Route)
	// answer answers a request; fallSilent blocks while the back end is silent.
	answer func(connection net.Conn, request backEndRequest, fallSilent func())
	// sound answers at once.
	sound script
	body  string
}

func silentAnswers() []silentAnswer {
	events := []string{eventOne, eventTwo, eventThree}
	writeHead := func(connection net.Conn, request backEndRequest) {
		_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead))
	}
	writeEvents := func(connection net.Conn, events ...string) {
		for _, event := range events {
			_, _ = connection.Write(appendChunk(nil, []byte(event)))
		}
	}
	streamOf := func(name string, answer func(connection net.Conn, request backEndRequest, fallSilent func())) silentAnswer {
		return silentAnswer{name: name, route: stream(true), sound: streaming("second", events...), body: strings.Join(events, ""), answer: answer}
	}
	return []silentAnswer{
		streamOf("within-a-stream", func(connection net.Conn, request backEndRequest, fallSilent func()) {
			writeHead(connection, request)
			writeEvents(connection, eventOne)
			fallSilent()
			writeEvents(connection, eventTwo, eventThree)
			_, _ = io.WriteString(connection, "0\r\n\r\n")
		}),
		streamOf("before-the-first-event", func(connection net.Conn, request backEndRequest, fallSilent func()) {
			writeHead(connection, request)
			fallSilent()
			writeEvents(connection, events...)
			_, _ = io.WriteString(connection, "0\r\n\r\n")
		}),
		streamOf("before-the-head-of-a-stream", func(connection net.Conn, request backEndRequest, fallSilent func()) {
			fallSilent()
			writeHead(connection, request)
			writeEvents(connection, events...)
			_, _ = io.WriteString(connection, "0\r\n\r\n")
		}),
		{
			name: "before-a-plain-answer", route: safe, sound: answering(200, "whole"), body: "whole",
			answer: func(connection net.Conn, request backEndRequest, fallSilent func()) {
				fallSilent()
				writeAnswer(connection, request, 200, "whole")
			},
		},
	}
}

// silentScene is a relay before a back end named first that falls silent within its answer, and perhaps others.
type silentScene struct {
	*testRelay
	first, second *scriptedBackEnd
	// sentToSecond counts the requests that the second back end had received when the request reached the first one.
	sentToSecond atomic.Int64
}

// silentSetup describes a scene. The zero value has a second back end that could take over the request.
type silentSetup struct {
	change func(*serving.Route)
	// isAlone is true if there is no second back end; secondAnswer replaces its answers.
	isAlone      bool
	secondAnswer script
	// silenceAfterNotice replaces the constant of the same name; 0 keeps it.
	silenceAfterNotice time.Duration
	// prepare changes the scene before the request is sent; onArrival when it has reached the first back end.
	prepare, onArrival func(t *testing.T, scene *silentScene)
}

// serveSilently sends one request of the given kind and returns its answer.
func (s silentSetup) serveSilently(t *testing.T, kind silentAnswer) (*silentScene, clientAnswer) {
	t.Helper()
	scene, ready := &silentScene{}, make(chan struct{})
	after := silenceAfterNotice
	if s.silenceAfterNotice > 0 {
		after = s.silenceAfterNotice
	}
	fallSilent := func() { scene.awaitNoticedSilence(t, "first", after) }
	scene.first = startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		<-ready
		if scene.second != nil {
			scene.sentToSecond.Store(int64(len(scene.second.receivedRequests())))
		}
		if s.onArrival != nil {
			s.onArrival(t, scene)
		}
		kind.answer(connection, request, fallSilent)
		return true
	})
	backEnds := []*scriptedBackEnd{scene.first}
	if !s.isAlone {
		sound := kind.sound
		if s.secondAnswer != nil {
			sound = s.secondAnswer
		}
		scene.second = startBackEnd(t, "second", serving.StageWhole, sound)
		backEnds = append(backEnds, scene.second)
	}
	config := route(func(r *serving.Route) {
		kind.route(r)
		r.Timeout = time.Minute
		if s.change != nil {
			s.change(r)
		}
	})
	scene.testRelay = newTestRelay(t, config, backEnds...)
	if !s.isAlone {
		scene.engineOf("second").addWork(placement.Work{Streams: 5}) // so that the first back end is selected first
	}
	if s.prepare != nil {
		s.prepare(t, scene)
	}
	close(ready)
	return scene, scene.client(t).do("POST", "/path/", "x")
}

// awaitNoticedSilence waits until the relay has recorded the silence of a back end, and the given time longer.
func (r *testRelay) awaitNoticedSilence(t *testing.T, id string, after time.Duration) {
	for r.engineOf(id).currentLoad(0).failures == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(after)
}

// requireAnswerOfFirst serves a request of each kind and requires that the client gets the whole answer of the back end
// that was silent.
func (s silentSetup) requireAnswerOfFirst(t *testing.T) {
	t.Helper()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			scene, answer := s.serveSilently(t, kind)
			require.Equal(t, 200, answer.status)
			require.True(t, answer.isComplete, "the answer was cut")
			require.Equal(t, kind.body, answer.body)
			require.Equal(t, "seal", string(answer.head.Peek("T-Seal")))
			if scene.second != nil {
				require.Len(t, scene.second.receivedRequests(), int(scene.sentToSecond.Load()), "the request was sent to the other back end as well")
			}
		})
	}
}

// Guards against a silence that ends an answer although the retry budget allows no further attempt.
func TestSilentBackEndKeepsItsAnswerWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	silentSetup{prepare: func(_ *testing.T, scene *silentScene) {
		scene.budget.SetBounds(0, time.Hour, 10)
		for scene.budget.TrySpend(scene.clock.now(), "service") {
			continue
		}
	}}.requireAnswerOfFirst(t)
}

// Guards against a silence that ends an answer although no other back end can take the request.
func TestSilentBackEndKeepsItsAnswerWithoutAnotherBackEnd(t *testing.T) {
	t.Parallel()
	for name, setup := range map[string]silentSetup{
		"alone": {isAlone: true},
		"leaving": {prepare: func(_ *testing.T, scene *silentScene) {
			scene.engineOf("second").signals.MarkLeaving(scene.clock.now())
		}},
		"in-backoff": {prepare: func(_ *testing.T, scene *silentScene) {
			scene.engineOf("second").signals.ExtendBackoff(scene.clock.now(), time.Hour)
		}},
		"limited": {prepare: func(_ *testing.T, scene *silentScene) { scene.setLimit("second", tinyLimit) }},
		"excluded": {
			change: func(r *serving.Route) { r.MaxAttempts = 3 }, secondAnswer: refusing(503),
			prepare: func(_ *testing.T, scene *silentScene) {
				scene.engineOf("first").addWork(placement.Work{Streams: 7}) // so that the second back end refuses first
			},
		},
		"silent-as-long": {
			secondAnswer: func(net.Conn, backEndRequest) bool { <-t.Context().Done(); return false },
			prepare: func(t *testing.T, scene *silentScene) {
				scene.engineOf("first").addWork(placement.Work{Streams: 7})
				scene.client(t).send("POST", "/path/", "y")
				require.Eventually(t, func() bool { return len(scene.second.receivedRequests()) == 1 }, time.Minute, time.Millisecond)
				scene.engineOf("first").removeWork(placement.Work{Streams: 7})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setup.requireAnswerOfFirst(t)
		})
	}
}

// Guards against a silence that ends an answer although its request was quarantined meanwhile and is not sent again.
func TestSilentBackEndKeepsItsAnswerToAQuarantinedRequest(t *testing.T) {
	t.Parallel()
	silentSetup{onArrival: func(_ *testing.T, scene *silentScene) {
		scene.addQuarantined(false, "POST", "/path/", "x")
	}}.requireAnswerOfFirst(t)
}

// Guards against a silence that ends the trial of a quarantined request, which reaches a single back end.
func TestSilentBackEndKeepsItsAnswerToATrial(t *testing.T) {
	t.Parallel()
	silentSetup{prepare: func(t *testing.T, scene *silentScene) {
		scene.guardedBy(t, grantingLeader{released: make(chan []byte, 1)})
		scene.addQuarantined(true, "POST", "/path/", "x")
	}}.requireAnswerOfFirst(t)
}

// Guards against a silence that ends an answer although less time is left than another back end needs for it.
func TestSilentBackEndKeepsItsAnswerNearTheDeadline(t *testing.T) {
	t.Parallel()
	silentSetup{
		change:             func(r *serving.Route) { r.Timeout = time.Hour },
		silenceAfterNotice: 100 * time.Millisecond, // the answer ends before the deadline
		onArrival: func(_ *testing.T, scene *silentScene) {
			scene.suspension().Add(int64(time.Hour - 1300*time.Millisecond)) // 0.3 to 0.4 s are left when the watch fires
		},
	}.requireAnswerOfFirst(t)
}

// Guards against a silent back end whose requests wait for it although another one can take them.
func TestSilentBackEndIsReplacedByOneThatCanTakeTheRequest(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			scene, answer := silentSetup{}.serveSilently(t, kind)
			require.True(t, answer.isComplete)
			require.Equal(t, kind.body, answer.body)
			require.Len(t, scene.second.receivedRequests(), 1)
		})
	}
}

// Guards against two silent answers that are both ended for the same retry, so that one of them is lost.
func TestOneRetryReplacesOneSilentAnswer(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var other *testClient
			setup := silentSetup{prepare: func(t *testing.T, scene *silentScene) {
				scene.budget.SetBounds(0, time.Hour, 1/retrybudget.SlackShare)
				other = scene.client(t)
				other.send("POST", "/path/", "y")
			}}
			scene, answer := setup.serveSilently(t, kind)
			for _, answer := range []clientAnswer{answer, other.read()} {
				require.True(t, answer.isComplete, "an answer was cut")
				require.Equal(t, kind.body, answer.body)
			}
			require.Len(t, scene.second.receivedRequests(), 1)
		})
	}
}

// Guards against a silence that ends a stream with a long prompt although no other decoding engine may prefill that prompt.
func TestSilentEngineKeepsItsStreamWhenNoOtherMayPrefillItsPrompt(t *testing.T) {
	t.Parallel()
	var relay *testRelay
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	silent := startBackEnd(t, "silent", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		relay.engineOf("reader").recordFailure(relay.clock.now())
		silentAnswers()[0].answer(connection, request, func() { relay.awaitNoticedSilence(t, "silent", silenceAfterNotice) })
		return true
	})
	busy := startBackEnd(t, "busy", serving.StageDecode, streaming("busy", eventOne, eventTwo, eventThree))
	relay = newTestRelay(t, route(stream(true)), reader, silent, busy)
	relay.engineOf("busy").addWork(placement.PrefillWork(10_000, 0).Plus(placement.Work{Streams: 5}))
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.True(t, answer.isComplete, "the answer was cut")
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
	require.Empty(t, busy.receivedRequests())
}

// Guards against several silent answers that are ended for the same free slot of another back end, which refuses all but one
// of their requests.
func TestOneFreeSlotReplacesOneSilentAnswer(t *testing.T) {
	t.Parallel()
	const sent = 4
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var isBusy atomic.Bool
			var others []*testClient
			setup := silentSetup{
				secondAnswer: func(connection net.Conn, request backEndRequest) bool {
					if !isBusy.CompareAndSwap(false, true) {
						return refusing(503)(connection, request)
					}
					time.Sleep(200 * time.Millisecond)
					isBusy.Store(false) // the relay counts the slot as free when it has read the answer
					return kind.sound(connection, request)
				},
				prepare: func(t *testing.T, scene *silentScene) {
					scene.engineOf("second").addWork(placement.Work{Streams: 2}) // with those of the setup, 7 of 8 slots
					for range sent - 1 {
						client := scene.client(t)
						client.send("POST", "/path/", "y")
						others = append(others, client)
					}
				},
			}
			_, answer := setup.serveSilently(t, kind)
			answers := []clientAnswer{answer}
			for _, client := range others {
				answers = append(answers, client.read())
			}
			for _, answer := range answers {
				require.True(t, answer.isComplete, "an answer was cut")
				require.Equal(t, kind.body, answer.body)
			}
		})
	}
}

// Guards against an answer that is ended because one back end can take its request, and a request that is then sent to
// another one which is silent as well.
func TestSilentBackEndIsReplacedByTheOneThatWasFound(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var relay *testRelay
			first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				kind.answer(connection, request, func() { relay.awaitNoticedSilence(t, "first", silenceAfterNotice) })
				return true
			})
			silent := startBackEnd(t, "silent", serving.StageWhole, kind.sound)
			sound := startBackEnd(t, "sound", serving.StageWhole, kind.sound)
			relay = newTestRelay(t, route(kind.route), first, silent, sound)
			relay.engineOf("silent").addWork(placement.Work{Streams: 4}) // the first choice after the first back end
			relay.engineOf("sound").addWork(placement.Work{Streams: 6})
			relay.engineOf("silent").beginAwaiting(relay.clock.now())
			answer := relay.client(t).do("POST", "/path/", "x")
			require.True(t, answer.isComplete)
			require.Equal(t, kind.body, answer.body)
			require.Empty(t, silent.receivedRequests())
			require.Len(t, sound.receivedRequests(), 1)
		})
	}
}
