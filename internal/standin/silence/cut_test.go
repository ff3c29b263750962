package silence

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// quietTime is how long a test waits for something that must not happen.
const quietTime = 50 * time.Millisecond

// pair is two addresses with a listener each, and a connection from the first to the second.
type pair struct {
	t             *testing.T
	network       Network
	addresses     [2]netip.Addr
	listeners     [2]net.Listener
	opened, taken net.Conn
}

// startPair listens at both addresses, and connects the first one to the second.
func startPair(t *testing.T, first, second string) *pair {
	t.Helper()
	created := &pair{t: t, addresses: [2]netip.Addr{netip.MustParseAddr(first), netip.MustParseAddr(second)}}
	for index, ip := range created.addresses {
		listener, err := ListenAt("tcp4", netip.AddrPortFrom(ip, 0).String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		created.listeners[index] = listener
	}
	var err error
	created.opened, err = created.dial(0)
	require.NoError(t, err)
	created.taken, err = created.listeners[1].Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = created.opened.Close(), created.taken.Close() })
	return created
}

// dial connects the address with the given index to the other one.
func (p *pair) dial(from int) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: p.addresses[from].AsSlice()}, Timeout: quietTime}
	return dialer.DialContext(p.t.Context(), "tcp4", p.listeners[1-from].Addr().String())
}

// begin begins a cut of the first address from the second.
func (p *pair) begin(mode CutMode) (end func() error) {
	p.t.Helper()
	end, err := p.network.BeginCut(Cut{Mode: mode, Group: p.addresses[:1], Others: p.addresses[1:]})
	require.NoError(p.t, err)
	return end
}

// requireArrival sends a byte and requires that it arrives, or that it does not within quietTime.
func (p *pair) requireArrival(from, to net.Conn, arrives bool) {
	p.t.Helper()
	_, err := from.Write([]byte{1})
	require.NoError(p.t, err)
	if arrives {
		require.NoError(p.t, to.SetReadDeadline(time.Time{}))
	} else {
		require.NoError(p.t, to.SetReadDeadline(time.Now().Add(quietTime)))
	}
	count, err := to.Read(make([]byte, 1))
	require.Equal(p.t, arrives, err == nil && count == 1, err)
}

// requireNoHandshake requires that neither address can connect to the other.
func (p *pair) requireNoHandshake() {
	p.t.Helper()
	for from := range p.addresses {
		_, err := p.dial(from)
		var failure net.Error
		require.ErrorAs(p.t, err, &failure)
		require.True(p.t, failure.Timeout(), err)
	}
}

// requireHandshakes requires that each address can connect to the other.
func (p *pair) requireHandshakes() {
	p.t.Helper()
	for from := range p.addresses {
		require.Eventually(p.t, func() bool {
			connection, err := p.dial(from)
			if err == nil {
				_ = connection.Close()
			}
			return err == nil
		}, time.Minute, time.Millisecond)
	}
}

// Guards against a cut that lets packets or new connections through, or that outlasts its end.
func TestSilentCut(t *testing.T) {
	p := startPair(t, "127.0.31.1", "127.0.31.2")
	end := p.begin(CutSilent)
	p.requireArrival(p.opened, p.taken, false)
	p.requireArrival(p.taken, p.opened, false)
	p.requireNoHandshake()
	require.NoError(t, end())
	p.requireArrival(p.opened, p.taken, true)
	p.requireArrival(p.taken, p.opened, true)
	p.requireHandshakes()
}

// Guards against a cut in one direction that acts in the other one too, or in which a handshake completes that needs both.
func TestOneWayCut(t *testing.T) {
	p := startPair(t, "127.0.31.3", "127.0.31.4")
	end := p.begin(CutOneWay)
	p.requireArrival(p.opened, p.taken, true)
	p.requireArrival(p.taken, p.opened, false)
	p.requireNoHandshake()
	require.NoError(t, end())
	p.requireArrival(p.taken, p.opened, true)
	p.requireHandshakes()
}

// Guards against resets that one end does not see.
func TestCutsByResets(t *testing.T) {
	for mode, addresses := range map[CutMode][2]string{CutReset: {"127.0.31.5", "127.0.31.6"}, CutResets: {"127.0.31.7", "127.0.31.8"}} {
		p := startPair(t, addresses[0], addresses[1])
		end := p.begin(mode)
		for _, connection := range []net.Conn{p.opened, p.taken} {
			_, err := connection.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, syscall.ETIMEDOUT)
		}
		if mode == CutReset {
			p.requireNoHandshake()
		}
		require.NoError(t, end())
		p.requireHandshakes()
	}
}

// Guards against a cut that ends together with the process's fault: connections that carry nothing any more must stay so, while
// new ones work from the beginning.
func TestSeveredConnectionsStaySilent(t *testing.T) {
	pair := startPair(t, "127.0.31.9", "127.0.31.10")
	end := pair.begin(CutSevered)
	pair.requireArrival(pair.opened, pair.taken, false)
	second, err := pair.dial(0)
	require.NoError(t, err)
	defer second.Close()
	taken, err := pair.listeners[1].Accept()
	require.NoError(t, err)
	defer taken.Close()
	pair.requireArrival(second, taken, true)
	require.NoError(t, end())
	silent := pair.begin(CutSilent)
	require.NoError(t, silent())
	pair.requireArrival(pair.opened, pair.taken, false)
	pair.requireArrival(second, taken, true)
}
