package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// tinyLimit grants no permit during a test: a new owner of such a limit grants its first permit after sixteen seconds.
var tinyLimit = backpressure.Limit{IsSet: true, PerSecond: 0.001}

const tinyLimitHeader = "T-Limit: 0.001"

// setLimit records a limit as if the back end had declared it.
func (r *testRelay) setLimit(id string, limit backpressure.Limit) *backEnd {
	engine := r.engineOf(id)
	r.recordLimit(engine, limit, r.clock.now())
	return engine
}

// A declared limit applies from the next request on, whatever the answer was otherwise. A malformed value, a value beyond
// what any back end can serve, and the value of another back end at the address change nothing.
func TestBackEndsThatNameALimitAreSentNoMore(t *testing.T) {
	for name, test := range map[string]struct {
		answer    script
		isLimited bool
	}{
		"serves":              {answering(200, "served", tinyLimitHeader), true},
		"fails":               {answering(500, "failed", tinyLimitHeader), true},
		"refuses the request": {answering(503, "", "T-Not-Run: 1", tinyLimitHeader), true},
		"zero":                {answering(200, "served", "T-Limit: 0"), true},
		"the smaller of two":  {answering(200, "served", "T-Limit: 9000", tinyLimitHeader), true},
		"unreadable":          {answering(200, "served", "T-Limit: many"), false},
		"negative":            {answering(200, "served", "T-Limit: -1"), false},
		"empty":               {answering(200, "served", "T-Limit:"), false},
		"huge":                {answering(200, "served", "T-Limit: 1e300"), false},
		"another's address":   {answering(421, "", "T-Not-Run: 1", tinyLimitHeader), false},
	} {
		t.Run(name, func(t *testing.T) {
			limited := startBackEnd(t, "names", serving.StageWhole, test.answer)
			relay := newTestRelay(t, route(func(r *serving.Route) { r.MaxAttempts = 1 }), limited)
			client := relay.client(t)
			client.do("POST", "/path/", "x")
			for range 3 {
				answer := client.do("POST", "/path/", "x")
				if test.isLimited {
					require.Equal(t, 503, answer.status)
					require.Empty(t, answer.head.Peek("T-Seal"))
					require.Positive(t, backpressure.ParseRetryAfter(answer.head.Peek("Retry-After")), "no time for a retry")
				}
			}
			if test.isLimited {
				require.Len(t, limited.receivedRequests(), 1)
			} else {
				require.Len(t, limited.receivedRequests(), 4)
			}
		})
	}
}

// A malformed value neither lifts a limit nor replaces it.
func TestMalformedLimitDoesNotLiftALimit(t *testing.T) {
	limited := startBackEnd(t, "names", serving.StageWhole, answering(200, "served", "T-Limit: many"))
	relay := newTestRelay(t, route(nil), limited)
	engine := relay.setLimit("names", backpressure.Limit{IsSet: true, PerSecond: 10_000})
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 200 }, time.Minute, time.Millisecond)
	require.True(t, engine.hasLimit())
}

// A back end states its limit in its answers. A successful answer without a limit makes the relay drop the limit that it
// has recorded for the back end; a failed answer does not. As long as the relay has the limit recorded, it still sends
// the requests that the limit admits, so it receives such an answer. After it the relay sends requests without permits.
func TestASuccessWithoutALimitLiftsIt(t *testing.T) {
	generous := backpressure.Limit{IsSet: true, PerSecond: 10_000}
	serves := startBackEnd(t, "serves", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), serves)
	engine := relay.setLimit("serves", generous)
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 200 }, time.Minute, time.Millisecond)
	require.False(t, engine.hasLimit())
	for range 20 {
		require.Equal(t, 200, relay.client(t).do("POST", "/path/", "x").status)
	}

	fails := startBackEnd(t, "fails", serving.StageWhole, answering(500, "failed"))
	relay = newTestRelay(t, route(nil), fails)
	engine = relay.setLimit("fails", generous)
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 500 }, time.Minute, time.Millisecond)
	require.True(t, engine.hasLimit())
}

// Prefills, releases of prefills, migrations of runs and reads of caches need permits as requests do.
func TestCallsToEnginesNeedPermits(t *testing.T) {
	t.Run("reading", func(t *testing.T) {
		limited := startBackEnd(t, "names", serving.StagePrefill, answering(200, "handle"))
		decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
		relay := newTestRelay(t, route(stream(false)), limited, decoder)
		relay.setLimit("names", tinyLimit)
		for range 3 {
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
		}
		require.Empty(t, limited.receivedRequests())
	})
	t.Run("release", func(t *testing.T) {
		reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), reader)
		relay.exchanger.release(&remotePrefill{engine: relay.setLimit("reader", tinyLimit), handle: "handle"}, "/handle/handle")
		require.Empty(t, reader.receivedRequests())
	})
	t.Run("move", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageDecode, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		copied, _ := relay.exchanger.copyRun(relay.setLimit("engine", tinyLimit), relay.dialect, &request{id: "request", deadline: time.Hour}, "10.0.0.1:80", false)
		require.False(t, copied)
		require.Empty(t, engine.receivedRequests())
	})
	t.Run("read of the cache", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		relay.setLimit("engine", tinyLimit)
		reader := &cacheReader{relay: relay.Relay, readAt: map[*prefixCache]time.Duration{}}
		reader.read = func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error) {
			t.Error("the engine was called")
			return serving.CacheReport{}, nil
		}
		reader.readNewlyOwned(t.Context())
	})
	t.Run("selected before the limit was declared", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageWhole, answering(200, "ok"))
		relay := newTestRelay(t, route(nil), engine)
		_, fault := relay.exchanger.connect(&message{
			request: &request{}, backEnd: relay.setLimit("engine", tinyLimit), deadline: relay.clock.now() + time.Minute,
		})
		require.ErrorIs(t, fault, errLimitReached)
		require.False(t, fault.mayHaveArrived)
	})
	t.Run("an answer to an internal call", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		relay.applySignals(relay.engineOf("engine"), backpressure.Directives{Limit: tinyLimit}, internalCallSentAt)
		require.True(t, relay.engineOf("engine").hasLimit())
		relay.applySignals(relay.engineOf("engine"), backpressure.Directives{Unlimited: true}, internalCallSentAt)
		require.True(t, relay.engineOf("engine").hasLimit(), "the absence of a limit in such an answer has no meaning")
	})
}

// When no decoding engine grants a permit, the request is refused at once, without a wasted prefill.
func TestNoPromptIsReadForARunWithoutAPermit(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	relay.setLimit("decoder", tinyLimit)
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, 503, answer.status)
	require.Positive(t, backpressure.ParseRetryAfter(answer.head.Peek("Retry-After")))
	require.Empty(t, reader.receivedRequests())
	require.Empty(t, decoder.receivedRequests())
}

// The permit that was acquired before the prefill is used for the run.
func TestPermitIsAcquiredBeforeThePrefill(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	relay.setLimit("decoder", backpressure.Limit{IsSet: true, PerSecond: 10_000})
	require.Eventually(t, func() bool {
		return relay.client(t).do("POST", "/path/", "x", longPrompt...).body == eventOne
	}, time.Minute, time.Millisecond)
	require.Len(t, reader.receivedRequests(), 1)
	require.Len(t, decoder.receivedRequests(), 1)
}

// The next incarnation of a back end starts without a limit.
func TestALimitIsOfOneStart(t *testing.T) {
	limited := startBackEnd(t, "names", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), limited)
	relay.setLimit("names", tinyLimit)
	newer := limited.entry
	newer.ID, newer.Replica, newer.StartedAtMs = "names/2", "names", 2
	next := *relay.view.Load()
	relay.fleet.applyListing([]serving.BackEnd{newer}, &next)
	relay.view.Store(&next)
	require.False(t, next.byService["service"][0].hasLimit())
}

// The leader's limit applies only to a relay without a more recent limit from the back end or from another relay.
func TestLeadersLimitDoesNotOverrideRecentLimits(t *testing.T) {
	limited := startBackEnd(t, "names", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), limited)
	engine := relay.engineOf("names")
	relay.applyLeaderLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash, Limit: tinyLimit})
	require.True(t, engine.hasLimit(), "a relay without a known limit applies it")
	relay.applyPeerLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash})
	relay.applyLeaderLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash, Limit: tinyLimit})
	require.False(t, engine.hasLimit(), "a relay that knows that the limit was lifted does not")
}
