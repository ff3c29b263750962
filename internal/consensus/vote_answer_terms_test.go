package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Guards against an answer to a vote request that carries a term which neither the voter nor the candidate has: whoever
// receives it adopts the term and writes it to its disk, and no later term exists above the highest one.
func TestAnswersToCandidatesCarryNoForeignTerm(t *testing.T) {
	for name, request := range map[string]*v1.ConsensusMessage{
		"pre-vote of no term": {Type: v1.MessageType_MESSAGE_TYPE_PRE_VOTE},
		"vote of no term":     {Type: v1.MessageType_MESSAGE_TYPE_VOTE},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 3, 1)
			leader := cluster.waitLeader()
			term := leader.term
			for _, voter := range cluster.cores {
				if voter == leader {
					continue
				}
				voter.outbox.messages = nil
				request.Fleet, request.From, request.To = voter.config.Fleet, leader.id, voter.id
				_ = voter.Step(cluster.now, request) // the voter withholds its vote: the leader may hold a lease
				for _, answer := range voter.outbox.messages {
					_ = leader.Step(cluster.now, answer.Message)
				}
			}
			require.Equal(t, term, leader.term)
			require.Equal(t, RoleLeader, leader.role)
		})
	}
}
