package dialing

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A machine that does not answer must delay an attempt by exactly the limit.
func TestWithTimeoutEndsHangingAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hangingDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		startedAt := time.Now()
		_, err := WithTimeout(hangingDial, PeerTimeout)(t.Context(), "tcp", "address")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, PeerTimeout, time.Since(startedAt))
	})
}

// The limit applies to the attempt only: an open connection must stay open.
func TestWithTimeoutKeepsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		opened, err := WithTimeout(func(context.Context, string, string) (net.Conn, error) { return local, nil }, PeerTimeout)(t.Context(), "tcp", "address")
		require.NoError(t, err)
		time.Sleep(2 * PeerTimeout)
		go func() { _, _ = remote.Read(make([]byte, 1)) }()
		_, err = opened.Write([]byte("x"))
		require.NoError(t, err)
	})
}
