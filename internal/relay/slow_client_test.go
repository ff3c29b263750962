package relay

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// hourLong makes a request's time, and the silence that its back end may keep, longer than any test runs.
func hourLong(config *serving.Route) { config.Timeout, config.Target = time.Hour, time.Hour }

// heldListener accepts connections of clients that stop to read: one write to each of them, counted from 1, is held.
type heldListener struct {
	net.Listener
	heldWrite int64
	// isHeld is closed when the write has begun; it ends after released was closed.
	isHeld, released chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConnection{Conn: connection, listener: l}, nil
}

// heldConnection is a connection that a heldListener has accepted.
type heldConnection struct {
	net.Conn
	listener *heldListener
	writes   atomic.Int64
}

// Write implements net.Conn.
func (c *heldConnection) Write(bytes []byte) (int, error) {
	if c.writes.Add(1) == c.listener.heldWrite {
		close(c.listener.isHeld)
		<-c.listener.released
	}
	return c.Conn.Write(bytes)
}

// holdWrites makes the relay accept one client whose write with the given number is held.
func (r *testRelay) holdWrites(t *testing.T, heldWrite int64) *heldListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := &heldListener{Listener: listener, heldWrite: heldWrite, isHeld: make(chan struct{}), released: make(chan struct{})}
	go func() { _ = r.accept(t.Context(), held) }()
	t.Cleanup(func() { _ = listener.Close() })
	r.address = listener.Addr().String()
	return held
}

// Guards against a sound back end that is avoided because a client does not read its answer in time, be it from the beginning
// on: the wait for the write of the head and of what was read with it did not count as the client's.
func TestSlowClientIsNoFailureOfItsBackEnd(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 1<<20) // more than the relay reads before the held write
	for name, heldWrite := range map[string]int64{"first write": 1, "second write": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := newTestRelay(t, longTimeout(safe, hourLong), startBackEnd(t, "one", serving.StageWhole, answering(200, body)))
			held := relay.holdWrites(t, heldWrite)
			client := relay.client(t)
			client.send("GET", "/path/", "")
			<-held.isHeld
			relay.suspension().Add(int64(2 * time.Hour)) // the request's time is over
			relay.handleSuspension(relay.clock.steady.SuspendedTime())
			close(held.released)
			answer := client.read()
			require.Equal(t, 200, answer.status)
			require.False(t, answer.isComplete)
			require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
			require.Zero(t, relay.engineOf("one").currentLoad(0).failures)
		})
	}
}
