package silence

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// openMultipath opens a socket with multipath TCP that is bound to an address.
func openMultipath(t *testing.T, address netip.Addr) (descriptor int) {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, unix.IPPROTO_MPTCP)
	if errors.Is(err, unix.EPROTONOSUPPORT) || errors.Is(err, unix.ENOPROTOOPT) {
		t.Skip("without multipath TCP in the kernel no listener uses it")
	}
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(descriptor) })
	require.NoError(t, unix.Bind(descriptor, &unix.SockaddrInet4{Addr: address.As4()}))
	return descriptor
}

// block blocks an address for a moment, and returns the error of the block's begin.
func block(t *testing.T, receiver netip.Addr) error {
	t.Helper()
	var network Network
	unblock, err := network.Block([]netip.Addr{receiver}, []netip.Addr{netip.MustParseAddr("127.0.31.20")})
	require.NoError(t, unblock())
	return err
}

// Guards against a cut of the shared loopback address that fails because another part of the process is between binding and
// listening at it with multipath TCP, as net.Listen is for a moment.
func TestCutPassesOverOtherPartsOpeningListeners(t *testing.T) {
	descriptor := openMultipath(t, sharedAddress)
	require.NoError(t, block(t, sharedAddress))
	require.NoError(t, unix.Listen(descriptor, 1))
	require.NoError(t, block(t, sharedAddress))
}

// Guards against a cut that lets sockets of its own addresses through: a listener with multipath TCP would accept connections
// within the cut.
func TestCutRefusesMultipathAtItsOwnAddresses(t *testing.T) {
	own := netip.MustParseAddr("127.0.31.21")
	descriptor := openMultipath(t, own)
	require.ErrorIs(t, block(t, own), unix.EOPNOTSUPP)
	require.NoError(t, unix.Listen(descriptor, 1))
	require.ErrorIs(t, block(t, own), unix.EOPNOTSUPP)
}

// Guards against a cut that passes over a connection with multipath TCP which is being opened from the shared address.
func TestCutRefusesMultipathThatConnects(t *testing.T) {
	silent, err := Listen()
	require.NoError(t, err)
	defer silent.Close()
	require.NoError(t, Begin(silent))
	descriptor := openMultipath(t, sharedAddress)
	port := silent.Addr().(*net.TCPAddr).Port
	require.ErrorIs(t, unix.Connect(descriptor, &unix.SockaddrInet4{Addr: sharedAddress.As4(), Port: port}), unix.EINPROGRESS)
	require.ErrorIs(t, block(t, sharedAddress), unix.EOPNOTSUPP)
}
