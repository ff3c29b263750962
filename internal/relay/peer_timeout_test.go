package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// silentConnection loses its peer when silent is closed: reads then fail with the kernel's timeout.
type silentConnection struct {
	net.Conn
	silent chan struct{}
}

// Read fails as the kernel does when the peer has acknowledged nothing for too long.
func (c *silentConnection) Read(buffer []byte) (int, error) {
	select {
	case <-c.silent:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
	default:
		return c.Conn.Read(buffer)
	}
}

// When the peer of several connections disappears without a reset, only one request must need a retry, not one per
// connection.
func TestTheOtherConnectionsAreDroppedWithASilentOne(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(safe), backEnd, startBackEnd(t, "two", serving.StageWhole, answering(200, "ok")))
	relay.preferring("one")
	silent, opened := make(chan struct{}), 0
	relay.exchanger.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		opened++
		if err != nil || opened > 3 {
			return connection, err
		}
		return &silentConnection{Conn: connection, silent: silent}, nil
	}
	record := relay.view.Load().byService["service"][0]
	if record.ID != "one" {
		record = relay.view.Load().byService["service"][1]
	}
	for range 3 {
		connection, err := relay.exchanger.open(record, time.Second)
		require.NoError(t, err)
		connection.AnsweredRequests = 1
		record.pool.Put(connection, relay.clock.now())
	}
	close(silent)
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status, "the request runs at another back end")
	require.False(t, record.pool.HasIdle(relay.clock.now(), connpool.DefaultIdleLimit), "no idle connection is left in the pool")
}
