package permits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// FuzzDatagram feeds arbitrary datagrams of other relays to the decoder: none may crash a relay, grant a permit without an
// owner's answer, or impose a long wait.
func FuzzDatagram(f *testing.F) {
	limit := &v1.NamedLimit{BackEnd: 1, Named: true, PerSecond: 1e308}
	for _, seed := range []*v1.RelayDatagram{
		{Content: &v1.RelayDatagram_LimitAsk{LimitAsk: &v1.LimitAsk{Limit: limit, Rank: 1 << 31, Heard: true}}},
		{Content: &v1.RelayDatagram_LimitAnswer{LimitAnswer: &v1.LimitAnswer{Limit: limit, WaitUs: 1 << 63}}},
		{Content: &v1.RelayDatagram_LimitNotice{LimitNotice: &v1.LimitNotice{Limits: []*v1.NamedLimit{limit, {PerSecond: -1, Named: true}}}}},
	} {
		content, err := proto.Marshal(seed)
		require.NoError(f, err)
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		received := &v1.RelayDatagram{}
		if proto.Unmarshal(content, received) != nil {
			return
		}
		const self = "10.0.0.1:1"
		member := fleetlimit.NewMember(self)
		member.SetProcesses(0, []string{self})
		if request, valid := requestFromWire(received.GetLimitAsk()); valid {
			for now := time.Minute; now < 2*time.Minute; now += time.Second {
				answer, isOwner := member.HandleRequest(now, request, true, 0.5)
				require.True(t, isOwner)
				require.GreaterOrEqual(t, answer.Wait, time.Duration(0))
				require.LessOrEqual(t, answer.Wait, maxWait)
			}
		}
		for _, limit := range received.GetLimitNotice().GetLimits() {
			if backEndLimit, valid := fleetlimit.FromWire(limit); valid {
				require.GreaterOrEqual(t, backEndLimit.Limit.PerSecond, 0.0)
				member.ApplyNotice(time.Minute, "10.0.0.2:1", backEndLimit)
			}
		}
		answer, _ := answerFromWire(received.GetLimitAnswer())
		require.GreaterOrEqual(t, answer.Wait, time.Duration(0))
		require.LessOrEqual(t, answer.Wait, maxWait)
	})
}
