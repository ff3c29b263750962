package leaderloss

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/load"
)

func TestEqualNumbersAreJudged(t *testing.T) {
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
		{"the loser learns another winner", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: taken, WinnerRevision: 3}, "was told 3"},
		{"the loser learns nothing", &v1.ApplyResponse{Outcome: accepted, Revision: 4}, &v1.ApplyResponse{Outcome: unchanged}, "UNCHANGED"},
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

func TestRevisionsThatFallAreFound(t *testing.T) {
	seen := &revisions{}
	require.Empty(t, seen.take("gateway", 0))
	require.Empty(t, seen.take("gateway", 3))
	require.Empty(t, seen.take("gateway", 3))
	require.Contains(t, seen.take("gateway", 2), "had revision 3 in force and went back to 2")
	_, reached := seen.reached(3)
	require.True(t, reached)
	_, reached = seen.reached(4)
	require.False(t, reached)
}

func TestReplacedMembers(t *testing.T) {
	before := members{{"a-1", "x:1", partLeader}, {"b-1", "x:2", "voter"}}
	tests := []struct {
		name     string
		present  members
		replaced bool
	}{
		{"old disk", before, false},
		{"learner", members{{"a-1", "x:1", partLeader}, {"b-2", "x:2", partLearner}}, false},
		{"both disks", members{{"b-1", "x:2", "voter"}, {"b-2", "x:2", "voter"}}, false},
		{"new disk", members{{"a-1", "x:1", partLeader}, {"b-2", "x:2", "voter"}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.replaced, test.present.replaced(before, "x:2"))
		})
	}
}

func TestReportFailsOnWhatBrokeOrWasNotChecked(t *testing.T) {
	checked := func(findings ...string) Report {
		recorder := newRecorder()
		for _, name := range []string{conditionOrders, conditionRevert, conditionNumbers, conditionKept} {
			recorder.checked(name, "")
		}
		for _, finding := range findings {
			recorder.checked(conditionKept, finding)
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
