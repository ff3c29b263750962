package property

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// attemptWith is what a caller was attemptWith about one sending.
func attemptWith(verdict, text string, whole bool) attempt {
	return attempt{verdict: verdict, text: text, complete: whole}
}

// TestLedgerFindsEachBreach holds what callers were told against numbers of executions.
func TestLedgerFindsEachBreach(t *testing.T) {
	const answer = "one two"
	rows := []struct {
		name     string
		kind     string
		key      string
		runs     int
		sendings []attempt // one after the other
		want     []Breach
	}{
		{"ran once", kindOnce, "k", 1, []attempt{attemptWith("ran", answer, true)}, nil},
		{"replayed", kindOnce, "k", 1, []attempt{attemptWith("ran", answer, true), attemptWith("ran", answer, true)}, nil},
		{"without a verdict", kindOnce, "k", 1, []attempt{attemptWith("", "one", false)}, nil},
		{"not run, then ran", kindOnce, "k", 1, []attempt{attemptWith("not-run", "", false), attemptWith("ran", answer, true)}, nil},
		{"may have run, then not run", kindOnce, "k", 1,
			[]attempt{attemptWith("may-have-run", "", false), attemptWith("not-run", "", false)}, []Breach{FalseNotRun}},
		{"not run alone, and ran", kindOnce, "k", 1, []attempt{attemptWith("not-run", "", false)}, []Breach{FalseNotRun}},
		{"ran, and did not", kindOnce, "k", 0, []attempt{attemptWith("ran", answer, true)}, []Breach{FalseRan}},
		{"ran twice under a key", kindOnce, "k", 2, []attempt{attemptWith("", "", false), attemptWith("ran", answer, true)}, []Breach{RunTwice}},
		{"sent twice without a key", kindOnce, "", 2, []attempt{attemptWith("", "", false), attemptWith("ran", answer, true)}, nil},
		{"sent once without a key and ran twice", kindOnce, "", 2, []attempt{attemptWith("ran", answer, true)}, []Breach{RunTwice}},
		{"repeated", kindRepeatable, "", maximumGatewayAttempts, []attempt{attemptWith("ran", answer, true)}, nil},
		{"repeated too often", kindRepeatable, "", maximumGatewayAttempts + 1, []attempt{attemptWith("ran", answer, true)}, []Breach{RepeatedTooOften}},
		{"another's text", kindRepeatable, "", 1, []attempt{attemptWith("ran", "one three", true)}, []Breach{MixedAnswer}},
		{"another's text in a part", kindRepeatable, "", 1, []attempt{attemptWith("", "three", false)}, []Breach{MixedAnswer}},
		{"called whole too early", kindRepeatable, "", 1, []attempt{attemptWith("ran", "one", true)}, []Breach{ShortAnswer}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			book := newLedger()
			of := &request{kind: row.kind, key: row.key, mark: "m", expected: answer}
			at := time.Unix(0, 0)
			for _, each := range row.sendings {
				each.request, each.began, each.ended = of, at.Add(time.Second), at.Add(2*time.Second)
				at = each.ended
				book.add(&each)
			}
			var found []Breach
			for _, each := range book.check(map[string]int{"m": row.runs}) {
				found = append(found, each.Breach)
			}
			require.Equal(t, row.want, found)
		})
	}
}
