package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A newer incarnation of an engine, which the list does not show yet, is detected by the start time in its answer: nothing
// that was cached before counts any more.
func TestAnEngineThatHasStartedAgainHoldsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		listed    int64
		answer    string
		isCleared bool
	}{
		"newer incarnation":        {listed: 1000, answer: "handle 2000", isCleared: true},
		"listed incarnation":       {listed: 1000, answer: "handle 1000"},
		"answer of an earlier one": {listed: 1000, answer: "handle 500"},
		"no time in the answer":    {listed: 1000, answer: "handle"},
		"no time in the list":      {answer: "handle 2000"},
	} {
		t.Run(name, func(t *testing.T) {
			reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, test.answer))
			reader.entry.StartedAtMs = test.listed
			decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
			relay := newTestRelay(t, route(stream(false)), reader, decoder)
			var engine *backEnd
			for _, record := range relay.view.Load().byService["service"] {
				if record.ID == "reader" {
					engine = record
				}
			}
			before := []placement.PrefixBlock{{Hash: placement.HashBlock("m", "ff"), Tokens: 3000}}
			engine.cache.markCached(relay.clock.now(), before)
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
			require.NotEmpty(t, reader.receivedRequests())
			require.Equal(t, test.isCleared, engine.isSuperseded.Load())
			require.Equal(t, test.isCleared, engine.cache.lookup(before, relay.clock.now()).Total == 0)
		})
	}
}
