package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A prompt that is refused for lack of prefill capacity still counts as demand, since stages are planned by the demand.
func TestRefusedPromptsCountAsDemand(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(true)), reader, decoder)
	relay.engineOf("reader").addWork(placement.PrefillWork(100_000, 0).Plus(placement.Work{Prefills: 5}))
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", "x", longPrompt...).status)
	require.Empty(t, reader.receivedRequests())
	report := relay.work.Report(relay.clock.now() + time.Hour)
	require.Len(t, report, 1)
	require.NotZero(t, report[0].GetPrefillMs())
}
