package zonedelay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// cutPause is how long tests wait for something that must not happen.
const cutPause = 20 * time.Millisecond

// dialed is a connection that cuts apply to, with its other end.
type dialed struct {
	cuts           *DialCuts
	dial           DialFunc
	address        string
	client, server net.Conn
}

// dialCuttable opens a connection to 127.0.9.6 that cuts apply to.
func dialCuttable(t *testing.T) dialed {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(t.Context(), "tcp", "127.0.9.6:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	cuts := NewDialCuts()
	dial := cuts.WrapDial((&net.Dialer{}).DialContext, address.Port())
	client, err := dial(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return dialed{cuts: cuts, dial: dial, address: address.String(), client: client, server: server}
}

// begin begins a cut from 127.0.9.6.
func (d dialed) begin(t *testing.T, mode CutMode) (end func()) {
	t.Helper()
	end, err := d.cuts.Begin([]netip.Prefix{netip.MustParsePrefix("127.0.9.0/24")}, mode)
	require.NoError(t, err)
	return end
}

// requireDials requires that a new connection is opened.
func (d dialed) requireDials(t *testing.T) {
	t.Helper()
	opened, err := d.dial(t.Context(), "tcp", d.address)
	require.NoError(t, err)
	require.NoError(t, opened.Close())
}

// Guards against cuts through which a relay still reaches its back ends, and against data that is lost when the cut ends.
func TestConnectionsHangInCut(t *testing.T) {
	d := dialCuttable(t)
	end := d.begin(t, CutHang)
	sendByte(t, d.client, 'a')
	sendByte(t, d.server, 'b')
	requireSilence(t, d.server)
	requireSilence(t, d.client)
	require.Positive(t, unacknowledgedBytes(t, d.server), "the process must not acknowledge what arrives")
	limited, cancel := context.WithTimeout(t.Context(), cutPause)
	defer cancel()
	_, err := d.dial(limited, "tcp", d.address)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	end()
	requireArrives(t, d.server, 'a')
	requireArrives(t, d.client, 'b')
	sendByte(t, d.client, 'c')
	requireArrives(t, d.server, 'c')
	d.requireDials(t)
}

// Guards against a dial that fails although the cut ends in time.
func TestHangingDialEndsWithCut(t *testing.T) {
	d := dialCuttable(t)
	end := d.begin(t, CutHang)
	done := make(chan error, 1)
	go func() {
		opened, err := d.dial(t.Context(), "tcp", d.address)
		if err == nil {
			_ = opened.Close()
		}
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the dial ended during the cut: %v", err)
	case <-time.After(cutPause):
	}
	end()
	require.NoError(t, <-done)
}

// Guards against connections whose peer sees that they are closed although the network is cut.
func TestPeerLearnsOfCloseAfterCut(t *testing.T) {
	d := dialCuttable(t)
	end := d.begin(t, CutHang)
	reading := make(chan error, 1)
	go func() {
		_, err := d.client.Read(make([]byte, 1))
		reading <- err
	}()
	sendByte(t, d.client, 'a')
	require.NoError(t, d.client.Close())
	require.ErrorIs(t, <-reading, net.ErrClosed)
	require.ErrorIs(t, d.client.SetDeadline(time.Now()), net.ErrClosed)
	requireSilence(t, d.server)
	end()
	requireArrives(t, d.server, 'a')
	_, err := d.server.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against resets that the process sees as its own closing, or that the peer does not see.
func TestConnectionsAreResetInCut(t *testing.T) {
	d := dialCuttable(t)
	reading := make(chan error, 1)
	go func() {
		_, err := d.client.Read(make([]byte, 1))
		reading <- err
	}()
	end := d.begin(t, CutReset)
	require.ErrorIs(t, <-reading, syscall.ECONNRESET)
	_, err := d.client.Write([]byte{'a'})
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, d.client.SetReadDeadline(time.Now()))
	_, err = d.server.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = d.dial(t.Context(), "tcp", d.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	end()
	d.requireDials(t)
	_, err = d.client.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "the connection stays reset")
	require.NoError(t, d.client.Close())
}

// Guards against a cut for new connections that ends open ones.
func TestOpenConnectionsLiveOnWhileNewOnesAreRefused(t *testing.T) {
	d := dialCuttable(t)
	end := d.begin(t, CutRefuseNew)
	sendByte(t, d.client, 'a')
	requireArrives(t, d.server, 'a')
	sendByte(t, d.server, 'b')
	requireArrives(t, d.client, 'b')
	_, err := d.dial(t.Context(), "tcp", d.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	end()
	end()
	d.requireDials(t)
}

// Guards against cuts that also strike addresses or ports outside of them.
func TestOtherConnectionsAreNotCut(t *testing.T) {
	d := dialCuttable(t)
	end, err := d.cuts.Begin([]netip.Prefix{netip.MustParsePrefix("127.0.10.0/24")}, CutReset)
	require.NoError(t, err)
	defer end()
	sendByte(t, d.client, 'a')
	requireArrives(t, d.server, 'a')
	d.requireDials(t)
	other := d.cuts.WrapDial((&net.Dialer{}).DialContext, netip.MustParseAddrPort(d.address).Port()+1)
	defer d.begin(t, CutReset)()
	opened, err := other(t.Context(), "tcp", d.address)
	require.NoError(t, err)
	require.NoError(t, opened.Close())
	_, err = d.cuts.Begin(nil, "nonsense")
	require.ErrorContains(t, err, "nonsense")
}

// unacknowledgedBytes returns how many bytes of what was written on a connection its peer has not acknowledged.
func unacknowledgedBytes(t *testing.T, connection net.Conn) int {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	count := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) { count, err = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) }))
	require.NoError(t, err)
	return count
}
