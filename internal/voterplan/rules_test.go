package voterplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testRules are the rules for two tolerated losses.
var testRules = Rules{MinimumVoters: 5, VoterSilence: time.Second, LearnerSilence: 2 * time.Second, SuspectSilence: 400 * time.Millisecond}

// voters returns a leader and answering voters, and the members given.
func voters(count int, others ...Member) []Member {
	members := []Member{{ID: "a", Name: "a", Address: "a", Local: true}}
	for index := 1; index < count; index++ {
		name := string(rune('a' + index))
		members = append(members, Member{ID: name, Name: name, Address: name, Answered: true, CaughtUp: true})
	}
	return append(members, others...)
}

func TestNext(t *testing.T) {
	silent := Member{ID: "x", Name: "x", Address: "x", Answered: true, Silence: time.Second}
	learner := Member{ID: "y", Name: "y", Address: "y", Learner: true, Answered: true, CaughtUp: true}
	rows := []struct {
		name    string
		members []Member
		action  Action
		member  string
		reason  Reason
		kept    int
	}{
		{"nothing to do", voters(5), "", "", "", 0},
		{"silent voter at the minimum stays", voters(4, silent), "", "", "", 1},
		{"silent voter above the minimum goes", voters(5, silent), Remove, "x", SilentAboveMinimum, 0},
		{"silent voter above an odd number of voters goes", voters(6, silent), Remove, "x", SilentAboveMinimum, 0},
		{"learner is promoted before a silent voter at the minimum goes", voters(4, silent, learner), Promote, "y", CaughtUp, 1},
		{"silent voter above the minimum goes before a learner is promoted", voters(5, silent, learner), Remove, "x", SilentAboveMinimum, 0},
		{"learner is promoted above the minimum", voters(5, learner), Promote, "y", CaughtUp, 0},
		{
			"learner waits for a voter in doubt", voters(4, Member{ID: "x", Answered: true, Silence: 500 * time.Millisecond}, learner),
			"", "", "", 0,
		},
		{
			"learner waits for a voter that never answered", voters(4, Member{ID: "x"}, learner),
			"", "", "", 0,
		},
		{
			"learner below the minimum waits for nobody", voters(3, Member{ID: "x"}, learner),
			Promote, "y", CaughtUp, 0,
		},
		{
			"voter whose address has another disk goes first", voters(4, Member{ID: "x", Name: "x", Address: "y", Silence: 400 * time.Millisecond}, learner),
			Remove, "x", DiskReplaced, 0,
		},
		{
			"voter whose address has another disk waits below the minimum", voters(3, Member{ID: "x", Name: "x", Address: "y", Silence: time.Second}, learner),
			Promote, "y", CaughtUp, 1,
		},
		{
			"voter whose address has another voter's disk goes for any learner",
			append(voters(4, Member{ID: "x", Name: "x", Address: "b", Silence: time.Second}), learner),
			Remove, "x", DiskReplaced, 0,
		},
		{
			"voter of the learner's name that answers stays", voters(4, Member{ID: "x", Name: "y", Address: "x", Answered: true}, learner),
			Promote, "y", CaughtUp, 0,
		},
		{
			"learner at the address of a voter that is not silent yet waits", voters(4, Member{ID: "x", Address: "y", Answered: true}, learner),
			"", "", "", 0,
		},
		{
			"silent learner goes", voters(5, Member{ID: "y", Learner: true, Silence: 2 * time.Second}),
			Remove, "y", SilentLearner, 0,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			plan := testRules.Next(row.members)
			kept := 0
			for _, unchanged := range plan.Unchanged {
				if unchanged.Action == Keep {
					require.Equal(t, SilentAtMinimum, unchanged.Reason)
					kept++
				}
			}
			require.Equal(t, row.kept, kept)
			if row.action == "" {
				require.Nil(t, plan.Step)
				return
			}
			require.NotNil(t, plan.Step)
			require.Equal(t, row.member, plan.Step.MemberID)
			require.Equal(t, row.action, plan.Step.Action)
			require.Equal(t, row.reason, plan.Step.Reason)
		})
	}
}

// TestWaitingLearners checks the reasons for which learners stay without a vote.
func TestWaitingLearners(t *testing.T) {
	learner := Member{ID: "y", Name: "y", Address: "y", Learner: true, Answered: true, CaughtUp: true}
	behind := learner
	behind.CaughtUp = false
	named := testRules
	named.Names = []string{"a", "b", "c", "d", "e"}
	rows := []struct {
		rules   Rules
		members []Member
		reason  Reason
	}{
		{testRules, voters(5, behind), NotCaughtUp},
		{testRules, voters(4, Member{ID: "x", Address: "y", Answered: true}, learner), FormerDiskVotes},
		{testRules, voters(4, Member{ID: "x"}, learner), VoterInDoubt},
		{named, voters(5, learner), Standby},
	}
	for _, row := range rows {
		plan := row.rules.Next(row.members)
		require.Nil(t, plan.Step)
		require.Len(t, plan.Unchanged, 1)
		require.Equal(t, Wait, plan.Unchanged[0].Action)
		require.Equal(t, row.reason, plan.Unchanged[0].Reason)
	}
}

// TestNamedPeers checks what differs where the controllers are named.
func TestNamedPeers(t *testing.T) {
	rules := testRules
	rules.Names = []string{"a", "b", "c", "d", "e"}
	silent := Member{ID: "x", Name: "e", Address: "e", Silence: time.Second}
	standby := Member{ID: "s", Name: "s", Address: "s", Learner: true, Answered: true, CaughtUp: true}
	successor := Member{ID: "z", Name: "e", Address: "e2", Learner: true, Answered: true, CaughtUp: true}

	require.Nil(t, rules.Next(voters(5, Member{ID: "g", Name: "g", Address: "g", Silence: time.Second}, standby)).Step, "silence alone removes nobody")
	step := rules.Next(voters(4, silent, standby, successor)).Step
	require.Equal(t, "x", step.MemberID, "another disk has the place of the voter")
	step = rules.Next(voters(4, standby, successor)).Step
	require.Equal(t, "z", step.MemberID, "a named peer comes before a standby")
	step = rules.Next(voters(4, standby)).Step
	require.Equal(t, "s", step.MemberID, "a standby comes before a missing voter")
	standby.Silence = time.Minute
	require.Nil(t, rules.Next(voters(5, standby)).Step, "a silent standby stays")
}

func TestToleratedLosses(t *testing.T) {
	require.Equal(t, 2, Counts{Voters: 5, AnsweringVoters: 5}.ToleratedLosses())
	require.Equal(t, 1, Counts{Voters: 7, AnsweringVoters: 5}.ToleratedLosses())
	require.Equal(t, -1, Counts{Voters: 5, AnsweringVoters: 2}.ToleratedLosses())
}
