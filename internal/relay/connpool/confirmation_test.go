package connpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// Guards against requests on an idle connection whose peer has become silent, and against closing it although the peer may
// go on.
func TestPoolKeepsUnconfirmedConnectionsBack(t *testing.T) {
	listener, err := silence.Listen()
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := dialing.WithDeadPeerDetection()(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	peer, err := listener.AcceptTCP()
	require.NoError(t, err)
	defer peer.Close()
	pool, connection := &Pool{}, NewConnection(dialed, 0)
	pool.Put(connection, 0)
	require.NoError(t, silence.Begin(peer))
	require.Eventually(t, func() bool { return isUnconfirmed(dialed) }, time.Minute, time.Millisecond)
	require.Nil(t, pool.Get(MaxConfirmationAge, time.Hour))
	require.Len(t, pool.idle, 1)
	require.NoError(t, silence.End(peer))
	require.Eventually(t, func() bool { return !isUnconfirmed(dialed) }, time.Minute, time.Millisecond)
	require.Same(t, connection, pool.Get(MaxConfirmationAge, time.Hour))
}

// Guards against new connections to a sound back end whose idle connections are probed.
func TestConnectionsToATalkingPeerStayConfirmed(t *testing.T) {
	listener, err := silence.Listen()
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := dialing.WithDeadPeerDetection()(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	peer, err := listener.AcceptTCP()
	require.NoError(t, err)
	defer peer.Close()
	for range 250 { // for two probes
		require.False(t, isUnconfirmed(dialed))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a wrong order of reuse after connections were kept back.
func TestPoolPutsConnectionsBackInOrder(t *testing.T) {
	pool := &Pool{}
	older, _ := putOpened(pool, 1, 1)
	newer, _ := putOpened(pool, 1, 2)
	first, second := pool.pop(), pool.pop()
	pool.putBack([]*Connection{first, second})
	require.Same(t, newer, pool.Get(3, time.Hour))
	require.Same(t, older, pool.Get(3, time.Hour))
}
