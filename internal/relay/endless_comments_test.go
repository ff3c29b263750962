package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a stream that is held until its client gives up by an engine that sends comments, or empty lines, and no events.
func TestStreamGoesOnElsewhereAfterEndlessComments(t *testing.T) {
	t.Parallel()
	events := strings.NewReplacer("SEAL", "seal").Replace(streamHead) + string(appendChunk(nil, []byte(eventOne)))
	for name, unit := range map[string]string{
		"heartbeats":  ": still there\n\n",
		"comments":    ": still there\n",
		"empty lines": "\n",
		"one comment": ":",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StageWhole, endless(events, string(appendChunk(nil, []byte(unit)))))
			sound := startBackEnd(t, "sound", serving.StageWhole, streaming("seal", eventOne, eventTwo, eventThree))
			relay := newTestRelay(t, longTimeout(stream(true)), bad, sound).preferring("bad")
			answer := relay.client(t).do("GET", "/path/", "")
			require.True(t, answer.isComplete)
			var ids []string
			for line := range strings.Lines(answer.body) {
				if id, found := strings.CutPrefix(line, "id: "); found {
					ids = append(ids, strings.TrimSpace(id))
				}
			}
			require.Equal(t, []string{"1", "2", "3"}, ids, "no event is missing or twice")
			require.Equal(t, 1, relay.engineOf("bad").currentLoad(0).failures)
		})
	}
}
