package leaderloss

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/load"
)

func TestNumbersFinding(t *testing.T) {
	const (
		accepted  = v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
		taken     = v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN
		unchanged = v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
	)
	tests := []struct {
		name      string
		won, lost *v1.ApplyResponse
		finding   string
	}{
		{"one wins", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: taken, WinnerRevision: 4}, ""},
		{"both win", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: accepted, Revision: 5}, "the other APPLY_OUTCOME_ACCEPTED"},
		{"nobody wins", &v1.ApplyResponse{Outcome: taken}, &v1.ApplyResponse{Outcome: taken}, "nobody won"},
		{"loser is told another winner", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: taken, WinnerRevision: 3}, "was told 3"},
		{"loser is told no winner", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: unchanged}, "UNCHANGED"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := numbersFinding(7, test.won, test.lost)
			if test.finding == "" {
				require.Empty(t, found)
				return
			}
			require.Contains(t, found, test.finding)
		})
	}
}

func TestDecreasingRevisionIsFound(t *testing.T) {
	seen := &revisionHistory{}
	require.Empty(t, seen.addReading("gateway", 0))
	require.Empty(t, seen.addReading("gateway", 3))
	require.Empty(t, seen.addReading("gateway", 3))
	require.Contains(t, seen.addReading("gateway", 2), "had revision 3 in force and went back to 2")
	_, reached := seen.firstReached(3)
	require.True(t, reached)
	_, reached = seen.firstReached(4)
	require.False(t, reached)
}

func TestReplacedMembers(t *testing.T) {
	before := quorumMembers{{"a-1", "x:1", roleLeader}, {"b-1", "x:2", "voter"}}
	tests := []struct {
		name     string
		present  quorumMembers
		replaced bool
	}{
		{"old disk", before, false},
		{"learner", quorumMembers{{"a-1", "x:1", roleLeader}, {"b-2", "x:2", roleLearner}}, false},
		{"both disks", quorumMembers{{"b-1", "x:2", "voter"}, {"b-2", "x:2", "voter"}}, false},
		{"new disk", quorumMembers{{"a-1", "x:1", roleLeader}, {"b-2", "x:2", "voter"}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.replaced, test.present.hasReplaced(before, "x:2"))
		})
	}
}

func TestReportFailsOnBrokenOrUncheckedConditions(t *testing.T) {
	checked := func(findings ...string) Report {
		recorder := newRecorder()
		for _, name := range []string{conditionOrders, conditionRevert, conditionNumbers, conditionKept} {
			recorder.addCheck(name, "")
		}
		for _, finding := range findings {
			recorder.addCheck(conditionKept, finding)
		}
		report := Report{}
		recorder.fill(&report)
		return report
	}
	require.NoError(t, checked().Failed())
	require.ErrorContains(t, checked("lost").Failed(), "accepted changes are kept: broken 1 times")
	unchecked := checked()
	unchecked.Conditions[0].Checked = 0
	require.ErrorContains(t, unchecked.Failed(), "never checked")
	cut := checked()
	cut.Load = load.Report{Cut: 1}
	require.ErrorContains(t, cut.Failed(), "1 cut")
}
