package requeststory

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

const logText = `   1.2 front-1 {"process":"front-1","event":"configuration_in_force","number":7,"time":"2026-01-01T00:00:01.100Z"}
{"process":"front-2","event":"configuration_in_force","number":9,"time":"2026-01-01T00:00:01.500Z"}
no line of ours
{"process":"front-1","event":"listing_in_force","version":3,"time":"2026-01-01T00:00:01.200Z"}
{"process":"front-1","event":"configuration_in_force","number":8,"time":"2026-01-01T00:00:01.900Z"}
{"process":"front-1","event":"request_ended","request":"b","status":502,"time":"2026-01-01T00:00:02.300Z"}
{"process":"front-1","event":"attempt_failed","request":"b","cause":"reset","time":"2026-01-01T00:00:02.100Z"}
{"process":"front-1","event":"request_ended","request":"a","status":200,"time":"2026-01-01T00:00:02.200Z"}
{"process":"front-1","event":"configuration_in_force","number":10,"time":"2026-01-01T00:00:03.000Z"}
`

func TestStoryIsOrderedAndIncludesRelayState(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	require.NoError(t, err)
	story := ForRequest("b", lines)
	require.Equal(t, []events.Event{events.AttemptFailed, events.RequestEnded}, []events.Event{story.Lines[0].Event, story.Lines[1].Event})
	require.Equal(t, "reset", story.Lines[0].Fields["cause"])
	require.Len(t, story.RelayState, 2)
	require.Equal(t, events.ListingApplied, story.RelayState[0].Event)
	require.InDelta(t, 8, story.RelayState[1].Fields["number"], 0)
	require.Empty(t, ForRequest("unknown", lines).Lines)
}
