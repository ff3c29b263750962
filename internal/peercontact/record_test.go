package peercontact

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// steadyClock is a clock that tests advance.
type steadyClock struct{ now time.Duration }

func newTestRecord() (*Record, *steadyClock) {
	clock := &steadyClock{}
	return NewRecord(func() time.Duration { return clock.now }), clock
}

func TestRecordTellsAgesConnectionsAndFailures(t *testing.T) {
	record, clock := newTestRecord()
	local, remote := net.Pipe()
	defer remote.Close()
	dial := record.Dial(func(context.Context, string, string) (net.Conn, error) { return local, nil })
	connection, err := dial(t.Context(), "tcp", "peer:1")
	require.NoError(t, err)
	clock.now = time.Second
	record.Received("peer:1")
	record.Failed("peer:1", Deliver, context.DeadlineExceeded)
	record.Failed("peer:1", Deliver, context.DeadlineExceeded)
	record.Failed("peer:1", Deliver, context.Canceled)
	clock.now = 3 * time.Second
	require.Equal(t, []Peer{{
		Address: "peer:1", ReceivedAge: 2 * time.Second, DeliveredAge: Never, Connections: 1, ConnectionAge: 3 * time.Second,
		Failures: []Failure{{Operation: Deliver, Cause: TimedOut, Count: 2, Age: 2 * time.Second}},
	}}, record.Peers())

	record.Delivered("peer:1")
	require.NoError(t, connection.Close())
	require.NoError(t, connection.Close())
	peer := record.Peers()[0]
	require.Zero(t, peer.DeliveredAge)
	require.Zero(t, peer.Connections)
	require.Equal(t, Never, peer.ConnectionAge)
}

// Guards against a record that grows with every address that was ever called.
func TestRecordIsBounded(t *testing.T) {
	record, clock := newTestRecord()
	for number := range 3 * maximumPeers {
		clock.now += time.Second
		record.Received("always:1")
		record.Received(fmt.Sprintf("peer-%d:1", number))
	}
	peers := record.Peers()
	require.Len(t, peers, maximumPeers)
	require.Equal(t, "always:1", peers[0].Address)
}

func TestCausesOfFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, refused := net.Dial("tcp", listener.Addr().String())
	expired, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	_, late := (&net.Dialer{}).DialContext(expired, "tcp", listener.Addr().String())
	for name, test := range map[string]struct {
		err  error
		want Cause
	}{
		"nothing listens":      {refused, ConnectionRefused},
		"a late attempt":       {late, TimedOut},
		"a call past its time": {connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded), TimedOut},
		"nothing acknowledged": {&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, Unacknowledged},
		"a reset":              {connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "read", Err: syscall.ECONNRESET}), ConnectionEnded},
		"no route":             {syscall.EHOSTUNREACH, Unreachable},
		"too many descriptors": {syscall.EMFILE, NoResources},
		"the peer's queue":     {connect.NewError(connect.CodeResourceExhausted, errors.New("full")), QueueFull},
		"something else":       {errors.New("something else"), OtherCause},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, causeOf(test.err)) })
	}
}

func TestCollectorLeavesOutWhatHasNotHappened(t *testing.T) {
	record, clock := newTestRecord()
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(record, "test_"))
	record.Received("peer:1")
	record.Failed("peer:1", Connect, syscall.ECONNREFUSED)
	clock.now = 1500 * time.Millisecond
	count, err := testutil.GatherAndCount(registry)
	require.NoError(t, err)
	require.Equal(t, 3, count, "the age of the last message, the connections and the failure")
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "test_peer_received_age_seconds" {
			require.InDelta(t, 1.5, family.GetMetric()[0].GetGauge().GetValue(), 1e-9)
		}
	}
}
