package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// answersOf returns the answers to a member's last election by voter; nil for none.
func (c *testCluster) answersOf(name string) map[string]VoteAnswer {
	election := c.cores[name].Status().Election
	if election == nil {
		return nil
	}
	answers := map[string]VoteAnswer{}
	for _, voter := range election.Answers {
		answers[voter.Name] = voter.Answer
	}
	return answers
}

// askForVote makes an isolated member ask one voter whether it would vote, and returns the recorded answer.
func (c *testCluster) askForVote(candidate, voter string) VoteAnswer {
	pass := func(from, to string) {
		messages := c.cores[from].outbox.messages
		c.cores[from].outbox.messages = nil
		for _, message := range messages {
			if message.Address == to {
				require.NoError(c.t, c.cores[to].Step(c.now, message.Message))
			}
		}
	}
	c.cores[candidate].campaign(true)
	pass(candidate, voter)
	pass(voter, candidate)
	return c.answersOf(candidate)[voter]
}

// Guards against an election that is not won without a trace of why: who was asked, who refused for which reason, and who
// was silent.
func TestElectionsThatAreNotWonTellWhy(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	leader := cluster.waitLeader()
	var followers []string
	for _, name := range cluster.names {
		if name != leader.config.Name {
			followers = append(followers, name)
		}
	}
	candidate, voter := followers[0], followers[1]
	cluster.stepFor(time.Second)
	require.Nil(t, cluster.answersOf(candidate), "a member that follows has no election to tell of")

	cluster.isolated[candidate] = true
	cluster.stepFor(5 * time.Second)
	require.Equal(t, map[string]VoteAnswer{leader.config.Name: VoteSilent, voter: VoteSilent}, cluster.answersOf(candidate))
	require.Greater(t, cluster.cores[candidate].Status().Election.Attempts, 1)
	require.Equal(t, VoteRefusedForLeader, cluster.askForVote(candidate, voter))

	_, _, err := leader.Propose(cluster.now, []byte("an entry that the isolated member lacks"))
	require.NoError(t, err)
	cluster.stepFor(time.Second)
	require.Equal(t, VoteRefusedForLog, cluster.askForVote(candidate, voter))

	cluster.isolated[candidate] = false
	cluster.stepFor(3 * time.Second)
	require.Nil(t, cluster.answersOf(candidate), "it follows again")
}

func TestVoteAnswersAreClassified(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	core := cluster.waitLeader()
	for name, test := range map[string]struct {
		preVote bool
		answer  *v1.ConsensusMessage
		want    VoteAnswer
	}{
		"granted":                            {answer: &v1.ConsensusMessage{Term: core.term + 1}, want: VoteGranted},
		"a later term":                       {answer: &v1.ConsensusMessage{Reject: true, Term: core.term + 2}, want: VoteRefusedForTerm},
		"the term is taken, before a vote":   {preVote: true, answer: &v1.ConsensusMessage{Reject: true, Term: core.term + 1}, want: VoteRefusedForTerm},
		"a longer log":                       {answer: &v1.ConsensusMessage{Reject: true, Term: core.term + 1, LogIndex: 100, LogTerm: core.term}, want: VoteRefusedForLog},
		"another vote in the term":           {answer: &v1.ConsensusMessage{Reject: true, Term: core.term + 1}, want: VoteRefusedForLeader},
		"a build that does not tell its log": {preVote: true, answer: &v1.ConsensusMessage{Reject: true, Term: core.term}, want: VoteRefusedForLeader},
	} {
		t.Run(name, func(t *testing.T) {
			core.recordCampaign(core.term+1, test.preVote)
			require.Equal(t, test.want, core.classifyVoteAnswer(test.answer))
		})
	}
}
