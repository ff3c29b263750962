package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// joinedRuns returns a stream that x begins and y ends, of which a back end was asked to go on after the given event.
func joinedRuns(asked string, last int) func(*history.History) {
	return func(h *history.History) {
		streamOf("id: 1\ndata: x@v1 part\n\nid: 2\ndata: y@v1 end\n\n", "stream", true)(h)
		h.Arrivals = append(h.Arrivals, changedArrival(ranAt("1", asked, second/20), func(a *history.Arrival) { a.LastEvent = last }))
	}
}

// streamCounts are streams with the clause that they break, and their neighbours that break none.
var streamCounts = []struct {
	name, route, body string
	whole             bool
	lastEvent         int
	expected          Clauses
}{
	{"whole", "stream", "id: 1\ndata: x@v1 part\n\nid: 2\ndata: x@v1 end\n\n", true, 0, Clauses{}},
	{"broken off", "stream", "id: 1\ndata: x@v1 part\n\nid: 2\nda", false, 0, Clauses{}},
	{"taken up after the last event", "stream", "id: 2\ndata: x@v1 end\n\n", true, 1, Clauses{TakenUp: Share{1, 1}}},
	{"an event is missing", "stream", "id: 1\ndata: x@v1 part\n\nid: 3\ndata: x@v1 end\n\n", true, 0, Clauses{Lacks: 1}},
	{"an event is missing where it is taken up", "stream", "id: 3\ndata: x@v1 end\n\n", true, 1, Clauses{Lacks: 1, TakenUp: Share{1, 1}}},
	{"an event comes twice", "stream", "id: 1\ndata: x@v1 part\n\nid: 1\ndata: x@v1 end\n\n", true, 0, Clauses{Twice: 1}},
	{"an event comes again where it is taken up", "stream", "id: 1\ndata: x@v1 end\n\n", true, 1, Clauses{Twice: 1, TakenUp: Share{1, 1}}},
	{"a number goes back", "stream", "id: 1\ndata: x@v1 part\n\nid: 2\ndata: x@v1 part\n\nid: 1\ndata: x@v1 end\n\n", true, 0, Clauses{GoesBack: 1}},
	{"two runs on a route that may not be resumed", "once", "id: 1\ndata: x@v1 part\n\nid: 2\ndata: y@v1 end\n\n", true, 0, Clauses{Joined: 1}},
	{"two runs on another route that no back end was asked for", "stream", "id: 1\ndata: x@v1 part\n\nid: 2\ndata: y@v1 end\n\n", true, 0, Clauses{Joined: 1}},
	{"ends as complete before its last event", "stream", "id: 1\ndata: x@v1 part\n\n", true, 0, Clauses{EndsEarly: 1}},
	{"ends as complete before its first event", "once", "", true, 0, Clauses{EndsEarly: 1}},
	{"ends as complete within an event", "stream", "id: 1\ndata: x@v1 part\n\nid: 2\nda", true, 0, Clauses{EndsEarly: 1}},
	{"two versions in one answer", "once", "id: 1\ndata: x@v1 part\n\nid: 2\ndata: x@v2 end\n\n", true, 0, Clauses{Joined: 1, Versions: 1}},
}

// Guards against breaks of a clause of the rule ORDER that are counted as another one, or not at all.
func TestEachClauseIsCounted(t *testing.T) {
	for _, row := range streamCounts {
		t.Run(row.name, func(t *testing.T) {
			recorded := historyWith(streamOf(row.body, row.route, row.whole))
			if row.lastEvent > 0 {
				recorded.Sendings[0].LastEvent, recorded.Sendings[0].Resumes, recorded.Sendings[0].Connected = row.lastEvent, "0", true
			}
			require.Equal(t, row.expected, CountClauses(recorded))
		})
	}
}

// Guards against versions that are joined over a client's attempts and counted in single answers only.
func TestVersionsAreCountedOverAttempts(t *testing.T) {
	require.Equal(t, 2, CountClauses(historyWith(mixedStreams(2))).Versions)
	joined := CountClauses(historyWith(joinedRuns("y", 1)))
	require.Zero(t, joined.Joined+joined.Versions)
}
