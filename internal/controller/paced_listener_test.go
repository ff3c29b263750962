package controller

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// readyListener always has a connection.
type readyListener struct{ net.Listener }

func (readyListener) Accept() (net.Conn, error) { return &net.TCPConn{}, nil }

// Hundreds of relays that come at once are let in over time; a few at once, and after a rest some more.
func TestConnectionsAreAcceptedOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paced := newPacedListener(readyListener{}, 500)
		accept := func(count int) time.Duration {
			began := time.Now()
			for range count {
				_, err := paced.Accept()
				require.NoError(t, err)
			}
			return time.Since(began)
		}
		require.Zero(t, accept(acceptBurst))
		require.Equal(t, time.Second, accept(500))
		time.Sleep(time.Minute)
		require.Zero(t, accept(acceptBurst), "a rest is no more than one burst")
		paced.setPace(100)
		require.InDelta(t, time.Second, accept(100), float64(20*time.Millisecond))
	})
}
