package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// markAllCached marks, for each engine, the blocks that it has already or is being sent to prefill as cached for any request.
func (r *testRelay) markAllCached(blocks []placement.PrefixBlock) {
	now := r.clock.now()
	for _, engine := range r.view.Load().byService["service"] {
		cachedTokens := engine.cache.lookup(blocks, now).Total
		for count, tokens := 0, 0; count < len(blocks) && tokens < cachedTokens; count++ {
			tokens += blocks[count].Tokens
			engine.cache.markCached(now, blocks[:count+1])
		}
	}
}

// A relay that has just started sends a prompt to the engine that has cached it, and lets other engines fetch cached blocks
// from there.
func TestRelayLearnsCachesAtItsStart(t *testing.T) {
	cold := startBackEnd(t, "cold", serving.StagePrefill, answering(200, "handle"))
	warm := startBackEnd(t, "warm", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(false)), cold, warm, decoder)
	var called []string
	reader := &cacheReader{relay: relay.Relay, readAt: map[*prefixCache]time.Duration{}}
	reader.read = func(_ context.Context, _ *http.Client, engine serving.BackEnd) (serving.CacheReport, error) {
		called = append(called, engine.ID)
		if engine.ID != "warm" {
			return serving.CacheReport{}, errors.New("does not answer")
		}
		return serving.CacheReport{Blocks: []serving.CachedBlock{{Model: "m", Block: serving.PrefixBlock{ID: "aa", Tokens: 6000}}}}, nil
	}
	reader.readNewlyOwned(t.Context())
	require.ElementsMatch(t, []string{"cold", "warm", "decoder"}, called)
	reader.readNewlyOwned(t.Context())
	require.Len(t, called, 3, "an engine is called once while it is owned")

	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
	require.Len(t, warm.receivedRequests(), 1)

	for _, backEnd := range relay.view.Load().byService["service"] {
		if backEnd.ID == "warm" {
			backEnd.addWork(placement.PrefillWork(200_000, 0).Plus(placement.Work{Prefills: 1}))
		}
	}
	relay.markAllCached(placement.PrefixBlocksOf(serving.ParsePrompt("m", "9000,50", "aa:6000,bb:3000")))
	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", "T-Model: m", "T-Tokens: 9000,50", "T-Parts: aa:6000,cc:3000").body)
	require.Equal(t, warm.entry.Address, string(cold.receivedRequests()[0].head.Peek("T-Fetch")))
}

// Engines may be listed before the first configuration arrives. Their KV cache size is the configured one from then on.
func TestConfigurationTellsTheMemoryOfListedEngines(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "reader", serving.StagePrefill, refusing(503)))
	next := &view{}
	relay.fleet.applyListing([]serving.BackEnd{{ID: "new", Service: "service", Stage: serving.StagePrefill}}, next)
	engine := next.byService["service"][0]
	require.Equal(t, placement.PrefixCacheCapacity(serving.StagePrefill, defaultCacheTokens), engine.cache.cache.Capacity())
	relay.dialect.ParseConfiguration = func([]byte) (serving.Configuration, error) {
		return serving.Configuration{Number: 1, Services: []serving.Service{{Name: "service", Engine: &serving.Engine{Slots: 8, CacheTokens: 600_000}}}}, nil
	}
	relay.fleet.applyDocument(&v1.Document{Number: 1}, next)
	require.NotNil(t, next.table)
	require.Equal(t, placement.PrefixCacheCapacity(serving.StagePrefill, 600_000), engine.cache.cache.Capacity())
}

// Guards against the following fault: an engine was in backoff when this relay became its owner, was then treated as read, and
// its cache stayed unknown for as long as the relay owned it. It must be read when the backoff ends.
func TestAnEngineThatRestedIsReadLater(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StagePrefill, answering(200, "handle"))
	relay := newTestRelay(t, route(stream(false)), engine)
	suspension := relay.suspension()
	relay.engineOf("engine").signals.ExtendBackoff(relay.clock.now(), time.Minute)
	calls := 0
	reader := &cacheReader{relay: relay.Relay, readAt: map[*prefixCache]time.Duration{}}
	reader.read = func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error) {
		calls++
		return serving.CacheReport{}, nil
	}
	reader.readNewlyOwned(t.Context())
	require.Zero(t, calls)
	suspension.Add(int64(time.Minute))
	reader.readNewlyOwned(t.Context())
	reader.readNewlyOwned(t.Context())
	require.Equal(t, 1, calls)
}
