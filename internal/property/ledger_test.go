package property

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// told is what a caller was told about one sending.
func told(verdict, text string, whole bool) sending {
	return sending{told: verdict, text: text, whole: whole}
}

// TestLedgerFindsEachBreach holds what callers were told against numbers of executions.
func TestLedgerFindsEachBreach(t *testing.T) {
	const answer = "one two"
	rows := []struct {
		name     string
		kind     string
		key      string
		runs     int
		sendings []sending // one after the other
		want     []Breach
	}{
		{"ran once", kindOnce, "k", 1, []sending{told("ran", answer, true)}, nil},
		{"replayed", kindOnce, "k", 1, []sending{told("ran", answer, true), told("ran", answer, true)}, nil},
		{"without a verdict", kindOnce, "k", 1, []sending{told("", "one", false)}, nil},
		{"not run, then ran", kindOnce, "k", 1, []sending{told("not-run", "", false), told("ran", answer, true)}, nil},
		{"may have run, then not run", kindOnce, "k", 1,
			[]sending{told("may-have-run", "", false), told("not-run", "", false)}, []Breach{FalseNotRun}},
		{"not run alone, and ran", kindOnce, "k", 1, []sending{told("not-run", "", false)}, []Breach{FalseNotRun}},
		{"ran, and did not", kindOnce, "k", 0, []sending{told("ran", answer, true)}, []Breach{FalseRan}},
		{"ran twice under a key", kindOnce, "k", 2, []sending{told("", "", false), told("ran", answer, true)}, []Breach{RunTwice}},
		{"sent twice without a key", kindOnce, "", 2, []sending{told("", "", false), told("ran", answer, true)}, nil},
		{"sent once without a key and ran twice", kindOnce, "", 2, []sending{told("ran", answer, true)}, []Breach{RunTwice}},
		{"repeated", kindRepeatable, "", maximumExchanges, []sending{told("ran", answer, true)}, nil},
		{"repeated too often", kindRepeatable, "", maximumExchanges + 1, []sending{told("ran", answer, true)}, []Breach{RepeatedTooOften}},
		{"another's text", kindRepeatable, "", 1, []sending{told("ran", "one three", true)}, []Breach{Mixed}},
		{"another's text in a part", kindRepeatable, "", 1, []sending{told("", "three", false)}, []Breach{Mixed}},
		{"called whole too early", kindRepeatable, "", 1, []sending{told("ran", "one", true)}, []Breach{Short}},
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
