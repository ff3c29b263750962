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

// testMember is one relay's Permits with its own socket.
type testMember struct {
	*Permits
	address string

	mutex  sync.Mutex
	limits []fleetlimit.BackEndLimit
	// clockOffset moves the clock forward, so that tests need not wait for a settling time.
	clockOffset time.Duration
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
		Socket: socket, Incarnation: self, Peers: peerhealth.New(func(string, time.Duration) {}),
		Now: func() time.Duration {
			member.mutex.Lock()
			defer member.mutex.Unlock()
			return time.Since(began) + member.clockOffset
		},
		Draw: func() float64 { return 0.5 }, IsRelayListFresh: func() bool { return true },
		OnLimit: func(backEndLimit fleetlimit.BackEndLimit) {
			member.mutex.Lock()
			defer member.mutex.Unlock()
			member.limits = append(member.limits, backEndLimit)
		},
	})
	go socket.Receive(func(received *v1.RelayDatagram, from string) {
		switch content := received.GetContent().(type) {
		case *v1.RelayDatagram_LimitAsk:
			member.HandleRequest(content.LimitAsk, from)
		case *v1.RelayDatagram_LimitAnswer:
			member.HandleAnswer(content.LimitAnswer)
		case *v1.RelayDatagram_LimitNotice:
			member.HandleNotice(content.LimitNotice, from)
		}
	})
	go member.Run(t.Context())
	return member
}

func (m *testMember) receivedLimits() []fleetlimit.BackEndLimit {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.limits)
}

func (m *testMember) advance(length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.clockOffset += length
}

// startMembers starts relays that list each other, sorted so that the back end's owner and deputies come first.
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
	owners := members[0].OwnersOf(backEnd)
	rank := func(member *testMember) int {
		if index := slices.Index(owners, member.address); index >= 0 {
			return index
		}
		return len(owners)
	}
	slices.SortStableFunc(members, func(a, b *testMember) int { return rank(a) - rank(b) })
	return members
}

func (m *testMember) getsPermit() bool {
	answer, _ := m.Request(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	return answer.Granted
}

// Every relay gets its permits from the limit's owner, which announces the limit and its end to all relays.
func TestLimitOwnerGrantsPermitsAndAnnouncesLimits(t *testing.T) {
	members := startMembers(t, 5)
	members[4].ReportLimit(fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: generous})
	for _, member := range members[1:] {
		require.Eventually(t, func() bool {
			return slices.Contains(member.receivedLimits(), fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: generous})
		}, time.Minute, time.Millisecond)
		require.Eventually(t, member.getsPermit, time.Minute, time.Millisecond)
	}
	require.Len(t, members[0].Limits(), 1)
	members[3].ReportLimit(fleetlimit.BackEndLimit{BackEnd: backEnd})
	require.Eventually(t, func() bool {
		return slices.Contains(members[4].receivedLimits(), fleetlimit.BackEndLimit{BackEnd: backEnd})
	}, time.Minute, time.Millisecond)
	answer, answered := members[4].Request(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.True(t, answered)
	require.Equal(t, fleetlimit.PermitResponse{Granted: true}, answer, "the limit was lifted")
}

// Deputies grant permits when the owner of a limit is gone; when no deputy answers either, no permit is granted.
func TestOthersStandIn(t *testing.T) {
	members := startMembers(t, 5)
	for gone := range 2 {
		_ = members[gone].config.Socket.Close()
		require.Eventually(t, members[4].getsPermit, time.Minute, time.Millisecond)
	}
	_ = members[2].config.Socket.Close()
	answer, answered := members[4].Request(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.False(t, answered)
	require.False(t, answer.Granted)
	require.Positive(t, answer.Wait)
}

// A relay without a list of relays sends nothing to a limited back end, because requests that relays send on their own
// would add up beyond the limit.
func TestARelayThatKnowsNobodyGetsNoPermit(t *testing.T) {
	answer, answered := startMember(t, 1).Request(fleetlimit.PermitRequest{BackEnd: backEnd, Limit: generous})
	require.False(t, answered)
	require.False(t, answer.Granted)
}
