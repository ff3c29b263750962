package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// An engine that has started again under its identity, which the list does not show yet, is known by its own word:
// nothing that was read there before counts as cached any more.
func TestAnEngineThatHasStartedAgainHoldsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		listed    int64
		answer    string
		forgotten bool
	}{
		"another start":             {listed: 1000, answer: "handle 2000", forgotten: true},
		"the listed one":            {listed: 1000, answer: "handle 1000"},
		"an answer of a former one": {listed: 1000, answer: "handle 500"},
		"an engine that says none":  {listed: 1000, answer: "handle"},
		"a list that says none":     {answer: "handle 2000"},
	} {
		t.Run(name, func(t *testing.T) {
			reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, test.answer))
			reader.entry.StartedAtMs = test.listed
			decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
			relay := newTestRelay(t, route(stream(false)), reader, decoder)
			var engine *backEnd
			for _, known := range relay.view.Load().byService["service"] {
				if known.ID == "reader" {
					engine = known
				}
			}
			before := []placement.PrefixBlock{{Hash: placement.HashBlock("m", "ff"), Tokens: 3000}}
			engine.cache.markCached(relay.clock.now(), before)
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", longPrompt...).body)
			require.NotEmpty(t, reader.seen())
			require.Equal(t, test.forgotten, engine.isSuperseded.Load())
			require.Equal(t, test.forgotten, engine.cache.lookup(before, relay.clock.now()).Total == 0)
		})
	}
}
