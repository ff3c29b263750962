package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestProbeReachesAnUnknownLeader sends a probe of a new disk to a member that does not lead. The
// member must forward it once, so that a leader whose address the new disk does not know can admit
// it.
func TestProbeReachesAnUnknownLeader(t *testing.T) {
	rows := []struct {
		name   string
		leader string
		round  uint64
		want   []string
	}{
		{"leader known", "b/1", 0, []string{"b"}},
		{"forwarded already", "b/1", forwardedRound, nil},
		{"no leader", "", 0, nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			member := fuzzMember(t)
			if row.leader != "" {
				require.NoError(t, member.Step(time.Second, &v1.ConsensusMessage{
					Fleet: "fleet", From: row.leader, To: "a/1", Type: v1.MessageType_MESSAGE_TYPE_APPEND, Term: 2, LogIndex: 1, LogTerm: 1,
				}))
			}
			member.Ready()
			require.NoError(t, member.Step(time.Second, &v1.ConsensusMessage{
				Fleet: "fleet", From: "d/1", Type: v1.MessageType_MESSAGE_TYPE_PROBE, Round: row.round,
				Sender: &v1.Member{Id: "d/1", Name: "d", Address: "d"},
			}))
			ready, _ := member.Ready()
			var forwarded []string
			for _, message := range ready.Messages {
				if message.Message.GetType() != v1.MessageType_MESSAGE_TYPE_PROBE {
					continue
				}
				forwarded = append(forwarded, message.Address)
				require.Equal(t, "d/1", message.Message.GetSender().GetId())
				require.EqualValues(t, forwardedRound, message.Message.GetRound())
			}
			require.Equal(t, row.want, forwarded)
		})
	}
}

// TestLearnerWithoutLeaderProbesAgain checks that a learner without leader contact requests
// admission again, because its first admission may have been lost with the leader that proposed
// it. A voter without leader contact must not request admission.
func TestLearnerWithoutLeaderProbesAgain(t *testing.T) {
	for _, learner := range []bool{true, false} {
		member := fuzzMember(t)
		member.members.byID["a/1"].Learner = learner
		member.setMembers(member.members.membership)
		probes := func(at time.Duration) int {
			member.Tick(at)
			ready, _ := member.Ready()
			count := 0
			for _, message := range ready.Messages {
				if message.Message.GetType() == v1.MessageType_MESSAGE_TYPE_PROBE {
					count++
				}
			}
			return count
		}
		require.Zero(t, probes(0))
		require.Zero(t, probes((learnerSilence-1)*DefaultElectionTimeout))
		want := 0
		if learner {
			want = 2
		}
		require.Equal(t, want, probes(learnerSilence*DefaultElectionTimeout))
	}
}

// TestSilentLeaderBecomesUnknown isolates a member. After the longest election timeout it must
// report no leader, even if it has no vote, so that nodes turn to other controllers.
func TestSilentLeaderBecomesUnknown(t *testing.T) {
	for _, learner := range []bool{true, false} {
		member := fuzzMember(t)
		member.members.byID["a/1"].Learner = learner
		member.setMembers(member.members.membership)
		require.NoError(t, member.Step(time.Second, &v1.ConsensusMessage{
			Fleet: "fleet", From: "b/1", To: "a/1", Type: v1.MessageType_MESSAGE_TYPE_APPEND, Term: 2, LogIndex: 1, LogTerm: 1,
		}))
		member.Tick(time.Second + DefaultElectionTimeout/2)
		require.Equal(t, "b/1", member.Status().Leader, "learner: %v", learner)
		member.Tick(time.Second + 2*DefaultElectionTimeout)
		require.Empty(t, member.Status().Leader, "learner: %v", learner)
	}
}
