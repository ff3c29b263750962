package dialing

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A machine that answers nothing holds an attempt up for the limit and no longer.
func TestWithinEndsAnAttemptThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hangs := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		began := time.Now()
		_, err := WithTimeout(hangs, PeerTimeout)(t.Context(), "tcp", "address")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, PeerTimeout, time.Since(began))
	})
}

// The limit ends with the attempt: a connection that is open stays open.
func TestWithinLeavesConnectionsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer there.Close()
		opened, err := WithTimeout(func(context.Context, string, string) (net.Conn, error) { return here, nil }, PeerTimeout)(t.Context(), "tcp", "address")
		require.NoError(t, err)
		time.Sleep(2 * PeerTimeout)
		go func() { _, _ = there.Read(make([]byte, 1)) }()
		_, err = opened.Write([]byte("x"))
		require.NoError(t, err)
	})
}
