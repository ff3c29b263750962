package connpool

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new requests on connections that were lost in a silence, and against a suspicion that outlives it.
func TestSuspicionCoversConnectionsFromBeforeASilence(t *testing.T) {
	var current suspicion
	require.False(t, current.covers(0), "there was no silence")
	current.begin(10)
	require.True(t, current.covers(9))
	require.True(t, current.covers(10))
	require.False(t, current.covers(11), "opened within the silence")
	current.recordReceived(11)
	require.True(t, current.covers(9), "an answer on a new connection says nothing about those from before")
	current.begin(5)
	require.True(t, current.covers(10), "a silence that is noticed later but began earlier keeps the others suspect")
	current.begin(12)
	require.True(t, current.covers(11))
	current.recordReceived(12)
	require.False(t, current.covers(9), "a connection from before has received bytes")
	current.begin(3)
	require.False(t, current.covers(4), "a former silence has no effect on the next one")
}

// putOpened puts a connection into the pool that was opened and put back at the given times. It returns it and its peer.
func putOpened(pool *Pool, openedAt, idleSince time.Duration) (*Connection, net.Conn) {
	near, far := net.Pipe()
	connection := NewConnection(near, openedAt)
	pool.Watch(connection)
	pool.Put(connection, idleSince)
	return connection, far
}

// Guards against sending requests on idle connections from before a silence while a new connection works.
func TestPoolKeepsSuspectConnectionsBack(t *testing.T) {
	pool := &Pool{}
	older, _ := putOpened(pool, 1, 6)
	newer, _ := putOpened(pool, 2, 5)
	waiting, peer := putOpened(pool, 3, 7)
	require.Same(t, waiting, pool.Get(7, time.Hour))
	pool.Suspect(8)
	require.False(t, pool.HasIdle(9, time.Hour))
	require.Nil(t, pool.Get(9, time.Hour))
	recent, _ := putOpened(pool, 9, 9)
	require.True(t, pool.HasIdle(10, time.Hour))
	require.Same(t, recent, pool.Get(10, time.Hour))
	require.Nil(t, pool.Get(10, time.Hour))
	go func() { _, _ = peer.Write([]byte("x")) }()
	_, err := waiting.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Same(t, newer, pool.Get(11, time.Hour), "the silence is over")
	require.Same(t, older, pool.Get(11, time.Hour))
}

// Guards against keeping suspect connections for as long as the back end is listed.
func TestPoolClosesExpiredSuspectConnections(t *testing.T) {
	pool := &Pool{}
	_, peer := putOpened(pool, 1, 1)
	pool.Suspect(2)
	require.Nil(t, pool.Get(DefaultIdleLimit, time.Hour))
	require.Len(t, pool.idle, 1)
	require.Nil(t, pool.Get(DefaultIdleLimit+1, time.Hour))
	require.Empty(t, pool.idle)
	_, err := peer.Read(make([]byte, 1))
	require.Error(t, err, "the connection is closed")
}

// Guards against keeping idle connections after the kernel's timeout has expired on another one.
func TestPoolClosesSuspectConnectionsAfterATimeout(t *testing.T) {
	pool := &Pool{}
	suspect, _ := putOpened(pool, 1, 1)
	pool.Suspect(2)
	suspect.OnTimeout()
	require.Empty(t, pool.idle)
}
