package property

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// attemptWith returns an attempt with an outcome.
func attemptWith(verdict, text string, complete bool) attempt {
	return attempt{verdict: verdict, text: text, complete: complete}
}

// TestLedgerFindsEachBreach compares outcomes with numbers of executions; each row names the breaches to be found.
func TestLedgerFindsEachBreach(t *testing.T) {
	const answer = "one two"
	rows := []struct {
		name     string
		kind     string
		key      string
		runs     int
		attempts []attempt // one after the other
		want     []Breach
	}{
		{"ran once", kindOnce, "k", 1, []attempt{attemptWith("ran", answer, true)}, nil},
		{"replayed", kindOnce, "k", 1, []attempt{attemptWith("ran", answer, true), attemptWith("ran", answer, true)}, nil},
		{"ran without a verdict", kindOnce, "k", 1, []attempt{attemptWith("", "one", false)}, nil},
		{"verdict not-run, then ran", kindOnce, "k", 1, []attempt{attemptWith("not-run", "", false), attemptWith("ran", answer, true)}, nil},
		{"verdict may-have-run, then not-run", kindOnce, "k", 1,
			[]attempt{attemptWith("may-have-run", "", false), attemptWith("not-run", "", false)}, []Breach{FalseNotRun}},
		{"verdict not-run, but it ran", kindOnce, "k", 1, []attempt{attemptWith("not-run", "", false)}, []Breach{FalseNotRun}},
		{"verdict ran, but it did not run", kindOnce, "k", 0, []attempt{attemptWith("ran", answer, true)}, []Breach{FalseRan}},
		{"ran twice under a key", kindOnce, "k", 2, []attempt{attemptWith("", "", false), attemptWith("ran", answer, true)}, []Breach{RunTwice}},
		{"sent twice without a key", kindOnce, "", 2, []attempt{attemptWith("", "", false), attemptWith("ran", answer, true)}, nil},
		{"sent once without a key and ran twice", kindOnce, "", 2, []attempt{attemptWith("ran", answer, true)}, []Breach{RunTwice}},
		{"repeated", kindRepeatable, "", maximumGatewayAttempts, []attempt{attemptWith("ran", answer, true)}, nil},
		{"repeated too often", kindRepeatable, "", maximumGatewayAttempts + 1, []attempt{attemptWith("ran", answer, true)}, []Breach{RepeatedTooOften}},
		{"text of another request", kindRepeatable, "", 1, []attempt{attemptWith("ran", "one three", true)}, []Breach{MixedAnswer}},
		{"text of another request in a partial response", kindRepeatable, "", 1, []attempt{attemptWith("", "three", false)}, []Breach{MixedAnswer}},
		{"marked as complete too early", kindRepeatable, "", 1, []attempt{attemptWith("ran", "one", true)}, []Breach{ShortAnswer}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			recorded := newLedger()
			of := &request{kind: row.kind, key: row.key, mark: "m", expected: answer}
			at := time.Unix(0, 0)
			for _, each := range row.attempts {
				each.request, each.began, each.ended = of, at.Add(time.Second), at.Add(2*time.Second)
				at = each.ended
				recorded.add(&each)
			}
			var breaches []Breach
			for _, each := range recorded.check(map[string]int{"m": row.runs}) {
				breaches = append(breaches, each.Breach)
			}
			require.Equal(t, row.want, breaches)
		})
	}
}
