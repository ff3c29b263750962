package permits

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

const backEnd = uint64(4711)

var generous = backpressure.Limit{IsSet: true, PerSecond: 50_000}

// testMember is one relay's permits at a socket of its own.
type testMember struct {
	*Permits
	address string

	mutex sync.Mutex
	told  []fleetlimit.BackEndLimit
	// ahead is how far the clock is ahead, so that settling needs no wait.
	ahead time.Duration
}

func startMember(t *testing.T, self uint64) *testMember {
	t.Helper()
	connection, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dropped"}, []string{"reason"})
	socket := datagram.New(connection, dropped)
	t.Cleanup(func() { _ = socket.Close() })
	member := &testMember{address: socket.Address}
	began := time.Now()
	member.Permits = New(Config{
		Socket: socket, Self: self, Peers: peerhealth.New(func(string, time.Duration) {}),
		Now: func() time.Duration {
			member.mutex.Lock()
			defer member.mutex.Unlock()
			return time.Since(began) + member.ahead
		},
		Draw: func() float64 { return 0.5 }, Fresh: func() bool { return true },
		Told: func(named fleetlimit.BackEndLimit) {
			member.mutex.Lock()
			defer member.mutex.Unlock()
			member.told = append(member.told, named)
		},
	})
	go socket.Receive(func(told *v1.RelayDatagram, from string) {
		switch content := told.GetContent().(type) {
		case *v1.RelayDatagram_LimitAsk:
			member.Answer(content.LimitAsk, from)
		case *v1.RelayDatagram_LimitAnswer:
			member.TakeAnswer(content.LimitAnswer)
		case *v1.RelayDatagram_LimitNotice:
			member.TakeNotice(content.LimitNotice, from)
		}
	})
	go member.Run(t.Context())
	return member
}

func (m *testMember) heard() []fleetlimit.BackEndLimit {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.told)
}

func (m *testMember) advance(length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ahead += length
}

// startMembers starts members that know of each other, the keepers of the back end first and in their order.
func startMembers(t *testing.T, count int) []*testMember {
	members := make([]*testMember, count)
	var addresses []string
	for index := range members {
		members[index] = startMember(t, uint64(index+1))
		addresses = append(addresses, members[index].address)
	}
	for _, member := range members {
		member.SetRelays(addresses)
		member.advance(10 * time.Second)
	}
	keepers := members[0].KeepersOf(backEnd)
	rank := func(member *testMember) int {
		if index := slices.Index(keepers, member.address); index >= 0 {
			return index
		}
		return len(keepers)
	}
	slices.SortStableFunc(members, func(a, b *testMember) int { return rank(a) - rank(b) })
	return members
}

func (m *testMember) granted() bool {
	answer, _ := m.Take(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	return answer.Granted
}

// Each member gets its permits from the one that keeps the count, which tells all of the limit, and of its end.
func TestOneMemberKeepsTheCount(t *testing.T) {
	members := startMembers(t, 5)
	members[4].Heard(fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: generous})
	for _, member := range members[1:] {
		require.Eventually(t, func() bool {
			return slices.Contains(member.heard(), fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: generous})
		}, time.Minute, time.Millisecond)
		require.Eventually(t, member.granted, time.Minute, time.Millisecond)
	}
	require.Len(t, members[0].Limits(), 1)
	members[3].Heard(fleetlimit.BackEndLimit{BackEnd: backEnd})
	require.Eventually(t, func() bool {
		return slices.Contains(members[4].heard(), fleetlimit.BackEndLimit{BackEnd: backEnd})
	}, time.Minute, time.Millisecond)
	answer, answered := members[4].Take(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.True(t, answered)
	require.Equal(t, fleetlimit.PermitResponse{Granted: true}, answer, "there is no limit any more")
}

// Where the one that keeps the count is gone others stand in; where none answers there is no permit.
func TestOthersStandIn(t *testing.T) {
	members := startMembers(t, 5)
	for gone := range 2 {
		_ = members[gone].config.Socket.Close()
		require.Eventually(t, members[4].granted, time.Minute, time.Millisecond)
	}
	_ = members[2].config.Socket.Close()
	answer, answered := members[4].Take(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.False(t, answered)
	require.False(t, answer.Granted)
	require.Positive(t, answer.Wait)
}

// A relay that knows of no others sends nothing: what relays send by themselves would add up.
func TestARelayThatKnowsNobodyGetsNoPermit(t *testing.T) {
	answer, answered := startMember(t, 1).Take(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.False(t, answered)
	require.False(t, answer.Granted)
}
