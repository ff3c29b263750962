package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestProbeReachesAnUnknownLeader lets a new disk probe a member that does not lead:
// the member passes the probe on once, so that a leader the new disk has no address
// of can admit it.
func TestProbeReachesAnUnknownLeader(t *testing.T) {
	rows := []struct {
		name   string
		leader string
		round  uint64
		want   []string
	}{
		{"leader known", "b/1", 0, []string{"b"}},
		{"relayed already", "b/1", relayedRound, nil},
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
			var relayed []string
			for _, message := range ready.Messages {
				if message.Message.GetType() != v1.MessageType_MESSAGE_TYPE_PROBE {
					continue
				}
				relayed = append(relayed, message.Address)
				require.Equal(t, "d/1", message.Message.GetSender().GetId())
				require.EqualValues(t, relayedRound, message.Message.GetRound())
			}
			require.Equal(t, row.want, relayed)
		})
	}
}
