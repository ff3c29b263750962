package silence

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// sharedAddress is the loopback address at which all parts of a process listen that choose no address of their own. A cut of it
// meets sockets that do not take part in the cut.
var sharedAddress = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// States of a TCP socket without a peer, TCP_CLOSE and TCP_LISTEN in net/tcp_states.h.
const (
	stateClosed    = 7
	stateListening = 10
)

// isForeignMultipath reports whether a socket is one of another part of the process that needs no filter and accepts none: it
// uses multipath TCP, as listeners of the net package do by default, has a shared local address, and neither has a peer nor
// connects to one.
func isForeignMultipath(descriptor int, local, remote netip.Addr) bool {
	if local != sharedAddress || remote.IsValid() {
		return false
	}
	protocol, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	if err != nil || protocol != unix.IPPROTO_MPTCP {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == stateClosed || info.State == stateListening)
}
