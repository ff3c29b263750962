package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	backoffHeader = "Retry-After: 3600"
	leavingHeader = "T-Leaving: 1"
)

// A back end that asks for a backoff or is leaving is sent nothing more, whatever its answer was otherwise. Requests go to
// another back end; when none is left they are refused as not run, with the time at which the backoff ends.
func TestBackEndsThatAskForItAreLeftAlone(t *testing.T) {
	for name, test := range map[string]struct {
		answer    script
		isAvoided bool
	}{
		"rests":                           {answering(503, "", "T-Not-Run: 1", backoffHeader), true},
		"backoff, may have run":           {answering(503, "", backoffHeader), true},
		"Retry-After with another status": {answering(429, "", "T-Not-Run: 1", backoffHeader), false},
		"leaving, serves":                 {answering(200, "served", leavingHeader), true},
		"leaving, fails":                  {answering(500, "failed", leavingHeader), true},
		"leaving, refuses":                {answering(503, "", "T-Not-Run: 1", leavingHeader), true},
		"another's address":               {answering(421, "", "T-Not-Run: 1", backoffHeader, leavingHeader), false},
	} {
		t.Run(name, func(t *testing.T) {
			scripted := startBackEnd(t, "asks", serving.StageWhole, test.answer)
			relay := newTestRelay(t, route(func(r *serving.Route) { r.MaxAttempts = 1 }), scripted)
			client := relay.client(t)
			client.do("POST", "/path/", "x")
			for range 3 {
				answer := client.do("POST", "/path/", "x")
				if test.isAvoided {
					require.Equal(t, 503, answer.status)
					require.Empty(t, answer.head.Peek("T-Seal"))
				}
			}
			if test.isAvoided {
				require.Len(t, scripted.receivedRequests(), 1)
			} else {
				require.Len(t, scripted.receivedRequests(), 4)
			}
		})
	}
}

// When all back ends are in backoff, a client receives the time at which the first backoff ends.
func TestCallersAreToldWhenARestEnds(t *testing.T) {
	long := startBackEnd(t, "long", serving.StageWhole, answering(503, "", "T-Not-Run: 1", backoffHeader))
	short := startBackEnd(t, "short", serving.StageWhole, answering(503, "", "T-Not-Run: 1", "Retry-After: 600"))
	relay := newTestRelay(t, route(nil), long, short)
	answer := relay.client(t).do("POST", "/path/", "x")
	require.Equal(t, 503, answer.status)
	retryAfter := backpressure.ParseRetryAfter(answer.head.Peek("Retry-After"))
	require.Greater(t, retryAfter, 500*time.Second)
	require.LessOrEqual(t, retryAfter, 600*time.Second+minRetrySpread)
	require.Len(t, long.receivedRequests(), 1)
	require.Len(t, short.receivedRequests(), 1)
}

// When all decoding engines are in backoff, a client receives the time at which the first backoff ends, even though prefill
// engines are available.
func TestCallersOfStreamsAreToldWhenARestEnds(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	engineInBackoff := startBackEnd(t, "rests", serving.StageDecode, streaming("rests", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, engineInBackoff)
	relay.engineOf("rests").signals.ExtendBackoff(relay.clock.now(), 600*time.Second)
	answer := relay.client(t).do("POST", "/path/", "x", shortPrompt...)
	require.Equal(t, 503, answer.status)
	retryAfter := backpressure.ParseRetryAfter(answer.head.Peek("Retry-After"))
	require.Greater(t, retryAfter, 500*time.Second)
	require.LessOrEqual(t, retryAfter, 600*time.Second+minRetrySpread)
	require.Empty(t, engineInBackoff.receivedRequests())
}

// The signals of a back end stay valid when its entry changes and when the list omits it for a while. Its next incarnation
// starts without signals.
func TestSignalsHoldForAStart(t *testing.T) {
	scripted := startBackEnd(t, "asks", serving.StageWhole, answering(503, "", "T-Not-Run: 1", backoffHeader, leavingHeader))
	relay := newTestRelay(t, route(nil), scripted)
	relay.client(t).do("POST", "/path/", "x")
	list := func(entries ...serving.BackEnd) *backEnd {
		next := *relay.view.Load()
		relay.fleet.applyListing(entries, &next)
		relay.view.Store(&next)
		if len(entries) == 0 {
			return nil
		}
		return next.byService["service"][0]
	}
	changed := scripted.entry
	changed.Slots++
	require.True(t, list(changed).isLeaving())
	require.True(t, list(changed).inBackoff(relay.clock.now()))
	list()
	require.True(t, list(scripted.entry).isLeaving())
	newer := scripted.entry
	newer.ID, newer.Replica, newer.StartedAtMs = "asks/2", "asks", 2
	require.False(t, list(newer).isLeaving())
	require.False(t, list(newer).inBackoff(relay.clock.now()))
}

// Prefills, releases of prefills, migrations of runs and reads of caches respect a backoff as requests do.
func TestCallsToEnginesHeedARest(t *testing.T) {
	t.Run("reading", func(t *testing.T) {
		engineInBackoff := startBackEnd(t, "rests", serving.StagePrefill, answering(503, "", "T-Not-Run: 1", backoffHeader))
		decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
		relay := newTestRelay(t, route(stream(false)), engineInBackoff, decoder)
		for range 3 {
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
		}
		require.Len(t, engineInBackoff.receivedRequests(), 1)
	})
	t.Run("release", func(t *testing.T) {
		reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), reader)
		relay.engineOf("reader").signals.ExtendBackoff(relay.clock.now(), time.Hour)
		relay.exchanger.release(&remotePrefill{engine: relay.engineOf("reader"), handle: "handle"}, "/handle/handle")
		require.Empty(t, reader.receivedRequests())
	})
	t.Run("move", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageDecode, answering(503, "", backoffHeader))
		relay := newTestRelay(t, route(stream(false)), engine)
		for range 3 {
			copied, _ := relay.exchanger.copyRun(relay.engineOf("engine"), relay.dialect, &request{id: "request", deadline: time.Hour}, "10.0.0.1:80", false)
			require.False(t, copied)
		}
		require.Len(t, engine.receivedRequests(), 1)
	})
	t.Run("read of the cache", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		calls := 0
		reader := &cacheReader{relay: relay.Relay, readAt: map[*prefixCache]time.Duration{}}
		reader.read = func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error) {
			calls++
			return serving.CacheReport{Signals: backpressure.Directives{Backoff: time.Hour}}, nil
		}
		for range 3 {
			reader.readNewlyOwned(t.Context())
			clear(reader.readAt)
			reader.owned = nil
		}
		require.Equal(t, 1, calls)
	})
	t.Run("selected before the backoff", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageWhole, answering(200, "ok"))
		relay := newTestRelay(t, route(nil), engine)
		relay.engineOf("engine").signals.ExtendBackoff(relay.clock.now(), time.Hour)
		_, fault := relay.exchanger.connect(&message{
			request: &request{}, backEnd: relay.engineOf("engine"), deadline: relay.clock.now() + time.Minute,
		})
		require.ErrorIs(t, fault, errInBackoff)
		require.False(t, fault.mayHaveArrived)
	})
}

// A backoff applies to one relay: an owner that a back end has asked for a backoff still assigns the back end to other relays.
func TestAnOwnersRestIsNotItsAskersRest(t *testing.T) {
	engineInBackoff := startBackEnd(t, "rests", serving.StageDecode, streaming("rests", eventOne))
	relay := newTestRelay(t, route(stream(false)), engineInBackoff)
	engine := relay.engineOf("rests")
	engine.signals.ExtendBackoff(relay.clock.now(), time.Hour)
	engines := relay.view.Load().byService["service"]
	query := &engineQuery{purpose: purposeDecode, service: "service", request: placement.Request{Stage: serving.StageDecode}}
	require.NotNil(t, relay.placementOwner.decide(query, engines, &placement.QueryID{Relay: 7, Number: 1}).selection)
	query.excluded = []uint64{engine.hash}
	require.Nil(t, relay.placementOwner.decide(query, engines, &placement.QueryID{Relay: 7, Number: 2}).selection)
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", "x").status, "the relay's own request")
	require.Empty(t, engineInBackoff.receivedRequests())
}
