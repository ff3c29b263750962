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

// small is a limit that permits nothing while a test runs: a relay that has just begun to keep a count grants its first
// permit after sixteen seconds.
var small = backpressure.Limit{IsSet: true, PerSecond: 0.001}

const namingSmall = "T-Limit: 0.001"

// limit makes a back end known as one that names a limit.
func (r *testRelay) limit(id string, limit backpressure.Limit) *backEnd {
	engine := r.engineOf(id)
	r.recordLimit(engine, limit, r.clock.now())
	return engine
}

// What a back end names holds from its next request on, whatever its answer was else. A value that cannot be read, one
// beyond what any back end serves and one of another back end at its address change nothing.
func TestBackEndsThatNameALimitAreSentNoMore(t *testing.T) {
	for name, test := range map[string]struct {
		answer script
		holds  bool
	}{
		"serves":             {answering(200, "served", namingSmall), true},
		"fails":              {answering(500, "failed", namingSmall), true},
		"turns it away":      {answering(503, "", "T-Not-Run: 1", namingSmall), true},
		"zero":               {answering(200, "served", "T-Limit: 0"), true},
		"the smaller of two": {answering(200, "served", "T-Limit: 9000", namingSmall), true},
		"unreadable":         {answering(200, "served", "T-Limit: many"), false},
		"negative":           {answering(200, "served", "T-Limit: -1"), false},
		"empty":              {answering(200, "served", "T-Limit:"), false},
		"huge":               {answering(200, "served", "T-Limit: 1e300"), false},
		"another's address":  {answering(421, "", "T-Not-Run: 1", namingSmall), false},
	} {
		t.Run(name, func(t *testing.T) {
			names := startBackEnd(t, "names", serving.StageWhole, test.answer)
			relay := newTestRelay(t, route(func(r *serving.Route) { r.MaxAttempts = 1 }), names)
			client := relay.client(t)
			client.do("POST", "/path/", "x")
			for range 3 {
				answer := client.do("POST", "/path/", "x")
				if test.holds {
					require.Equal(t, 503, answer.status)
					require.Empty(t, answer.head.Peek("T-Seal"))
					require.Positive(t, backpressure.ParseRetryAfter(answer.head.Peek("Retry-After")), "when to come back")
				}
			}
			if test.holds {
				require.Len(t, names.seen(), 1)
			} else {
				require.Len(t, names.seen(), 4)
			}
		})
	}
}

// An unreadable value neither lifts a limit nor replaces it.
func TestAnUnreadableLimitLiftsNone(t *testing.T) {
	names := startBackEnd(t, "names", serving.StageWhole, answering(200, "served", "T-Limit: many"))
	relay := newTestRelay(t, route(nil), names)
	engine := relay.limit("names", backpressure.Limit{IsSet: true, PerSecond: 10_000})
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 200 }, time.Minute, time.Millisecond)
	require.True(t, engine.hasLimit())
}

// A success that names no limit lifts it, a failure does not: a limit is used to find out, and then the back end is used
// as before.
func TestASuccessWithoutALimitLiftsIt(t *testing.T) {
	generous := backpressure.Limit{IsSet: true, PerSecond: 10_000}
	serves := startBackEnd(t, "serves", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), serves)
	engine := relay.limit("serves", generous)
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 200 }, time.Minute, time.Millisecond)
	require.False(t, engine.hasLimit())
	for range 20 {
		require.Equal(t, 200, relay.client(t).do("POST", "/path/", "x").status)
	}

	fails := startBackEnd(t, "fails", serving.StageWhole, answering(500, "failed"))
	relay = newTestRelay(t, route(nil), fails)
	engine = relay.limit("fails", generous)
	require.Eventually(t, func() bool { return relay.client(t).do("POST", "/path/", "x").status == 500 }, time.Minute, time.Millisecond)
	require.True(t, engine.hasLimit())
}

// Readings of prompts, the release of prompts that were read, moves of runs and readings of what is cached need permits
// as requests do.
func TestCallsToEnginesNeedPermits(t *testing.T) {
	t.Run("reading", func(t *testing.T) {
		names := startBackEnd(t, "names", serving.StagePrefill, answering(200, "handle"))
		decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
		relay := newTestRelay(t, route(stream(false)), names, decoder)
		relay.limit("names", small)
		for range 3 {
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
		}
		require.Empty(t, names.seen())
	})
	t.Run("release", func(t *testing.T) {
		reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), reader)
		relay.exchanger.release(&remotePrefill{engine: relay.limit("reader", small), handle: "handle"}, "/handle/handle")
		require.Empty(t, reader.seen())
	})
	t.Run("move", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageDecode, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		copied, _ := relay.exchanger.copyRun(relay.limit("engine", small), relay.dialect, "request", "10.0.0.1:80", false)
		require.False(t, copied)
		require.Empty(t, engine.seen())
	})
	t.Run("what is cached", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		relay.limit("engine", small)
		reader := &cacheReader{relay: relay.Relay, readAt: map[*prefixCache]time.Duration{}}
		reader.read = func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error) {
			t.Error("it was asked")
			return serving.CacheReport{}, nil
		}
		reader.readNewlyOwned(t.Context())
	})
	t.Run("picked before it was named", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StageWhole, answering(200, "ok"))
		relay := newTestRelay(t, route(nil), engine)
		_, fault := relay.exchanger.connect(&message{
			request: &request{}, backEnd: relay.limit("engine", small), deadline: relay.clock.now() + time.Minute,
		})
		require.ErrorIs(t, fault, errLimitReached)
		require.False(t, fault.mayHaveArrived)
	})
	t.Run("a word of a call's own", func(t *testing.T) {
		engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
		relay := newTestRelay(t, route(stream(false)), engine)
		relay.applySignals(relay.engineOf("engine"), backpressure.Directives{Limit: small}, internalCallSentAt)
		require.True(t, relay.engineOf("engine").hasLimit())
		relay.applySignals(relay.engineOf("engine"), backpressure.Directives{Unlimited: true}, internalCallSentAt)
		require.True(t, relay.engineOf("engine").hasLimit(), "an answer to a call says nothing by its silence")
	})
}

// Where no engine that generates has room, nothing is read in vain: the request is refused at once.
func TestNoPromptIsReadForARunWithoutAPermit(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	relay.limit("decoder", small)
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, 503, answer.status)
	require.Positive(t, backpressure.ParseRetryAfter(answer.head.Peek("Retry-After")))
	require.Empty(t, reader.seen())
	require.Empty(t, decoder.seen())
}

// Where there is room, the permit that is taken before the prompt is read serves the run.
func TestAPermitIsTakenBeforeThePromptIsRead(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), reader, decoder)
	relay.limit("decoder", backpressure.Limit{IsSet: true, PerSecond: 10_000})
	require.Eventually(t, func() bool {
		return relay.client(t).do("POST", "/path/", "x", longPrompt...).body == eventOne
	}, time.Minute, time.Millisecond)
	require.Len(t, reader.seen(), 1)
	require.Len(t, decoder.seen(), 1)
}

// The next start of a back end has named no limit, and what the leader tells does not undo what was heard here.
func TestALimitIsOfOneStart(t *testing.T) {
	names := startBackEnd(t, "names", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), names)
	relay.limit("names", small)
	again := names.entry
	again.ID, again.Replica, again.StartedAtMs = "names/2", "names", 2
	next := *relay.view.Load()
	relay.fleet.applyListing([]serving.BackEnd{again}, &next)
	relay.view.Store(&next)
	require.False(t, next.byService["service"][0].hasLimit())
}

func TestTheLeadersWordIsTheLeast(t *testing.T) {
	names := startBackEnd(t, "names", serving.StageWhole, answering(200, "served"))
	relay := newTestRelay(t, route(nil), names)
	engine := relay.engineOf("names")
	relay.applyLeaderLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash, Limit: small})
	require.True(t, engine.hasLimit(), "a relay that knows nothing takes it")
	relay.applyPeerLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash})
	relay.applyLeaderLimit(fleetlimit.BackEndLimit{BackEnd: engine.hash, Limit: small})
	require.False(t, engine.hasLimit(), "one that has heard of its end does not")
}
