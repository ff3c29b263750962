package silence

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"unsafe"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Network makes the TCP sockets of this process ignore what certain addresses send to certain others, as a network does that
// drops packets: nothing is acknowledged, and neither end is told. It acts on the sockets themselves, so that programs keep
// their own dialers and listeners. All sockets must be IPv4 and bound to one of the addresses. Multipath TCP accepts no
// filters: sockets with it are an error, except for those at 127.0.0.1 without a peer, which belong to other parts of the process.
//
// It is safe for concurrent use. There may be only one Network in a process. While a method runs, a socket that another
// goroutine closes may stay open for a moment longer, so that the port of a listener stays in use.
type Network struct {
	mutex sync.Mutex
	// blocked holds whom each address ignores, refused from whom its listeners accept no connection.
	blocked, refused pairs
	// filtered holds the cookies of the sockets with a filter of a block.
	filtered map[uint64]bool
	// severed holds the cookies of the sockets that ignore everything for good.
	severed map[uint64]bool
}

// Block makes the receivers ignore the senders until the returned function is called. An address ignores nothing that it
// sends to itself.
func (n *Network) Block(receivers, senders []netip.Addr) (unblock func() error, err error) {
	return n.begin(func(change int) { n.blocked.count(receivers, senders, change) })
}

// Refuse makes the listeners of a group of addresses ignore the others' attempts to connect until the returned function is
// called. Where packets pass in one direction only, no handshake can complete.
func (n *Network) Refuse(listeners, others []netip.Addr) (accept func() error, err error) {
	return n.begin(func(change int) { n.refused.count(listeners, others, change) })
}

// begin applies a change of the counts until the returned function is called.
func (n *Network) begin(count func(change int)) (end func() error, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.blocked == nil {
		n.blocked, n.refused, n.filtered = make(pairs), make(pairs), make(map[uint64]bool)
	}
	count(1)
	var once sync.Once
	end = func() (err error) {
		once.Do(func() {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			count(-1)
			err = n.apply()
		})
		return err
	}
	return end, n.apply()
}

// Refresh makes the sockets that were opened since the last call follow the blocks under way. A listener needs no refresh:
// the connections that it accepts inherit its filter.
func (n *Network) Refresh() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.apply()
}

// Sever makes the connections that are open now between the two groups of addresses ignore everything for good, at both ends,
// as a firewall does that has lost its state: neither end is told, and new connections work.
func (n *Network) Sever(group, others []netip.Addr) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return eachSocket(func(descriptor int, local, remote netip.Addr) error {
		if !isBetween(group, others, local, remote) {
			return nil
		}
		cookie, err := unix.GetsockoptUint64(descriptor, unix.SOL_SOCKET, unix.SO_COOKIE)
		if err != nil {
			return trace.Wrap(err)
		}
		if n.severed == nil {
			n.severed = make(map[uint64]bool)
		}
		n.severed[cookie] = true
		return attach(descriptor, dropAll)
	})
}

// Reset ends all connections of this process between the two groups of addresses by a reset to both ends.
func (n *Network) Reset(group, others []netip.Addr) error {
	return eachSocket(func(descriptor int, local, remote netip.Addr) error {
		if !isBetween(group, others, local, remote) {
			return nil
		}
		// Connecting to no address ends a TCP connection with a reset.
		unspecified := unix.RawSockaddr{Family: unix.AF_UNSPEC}
		_, _, errno := unix.Syscall(unix.SYS_CONNECT, uintptr(descriptor), uintptr(unsafe.Pointer(&unspecified)), unsafe.Sizeof(unspecified))
		if errno != 0 {
			return trace.Wrap(errno)
		}
		return nil
	})
}

// isBetween reports whether a connection has one end in each group, at different addresses.
func isBetween(group, others []netip.Addr, local, remote netip.Addr) bool {
	return local != remote && (slices.Contains(group, local) && slices.Contains(others, remote) ||
		slices.Contains(others, local) && slices.Contains(group, remote))
}

// pairs holds the number of blocks under way by receiver and sender.
type pairs map[netip.Addr]map[netip.Addr]int

// count adds to the number of blocks of each pair.
func (p pairs) count(receivers, senders []netip.Addr, change int) {
	for _, receiver := range receivers {
		if p[receiver] == nil {
			p[receiver] = make(map[netip.Addr]int)
		}
		for _, sender := range senders {
			p[receiver][sender] += change
			if receiver == sender || p[receiver][sender] == 0 {
				delete(p[receiver], sender)
			}
		}
	}
}

// apply sets the filter of each socket of an address that is blocked from others, and removes those that it has set before.
// Other filters stay.
func (n *Network) apply() error {
	return eachSocket(func(descriptor int, local, remote netip.Addr) error {
		dropped := n.blocked[local]
		if isListener(descriptor) {
			dropped = maps.Clone(dropped)
			if dropped == nil {
				dropped = make(map[netip.Addr]int)
			}
			maps.Copy(dropped, n.refused[local])
		}
		cookie, err := unix.GetsockoptUint64(descriptor, unix.SOL_SOCKET, unix.SO_COOKIE)
		if err != nil {
			return trace.Wrap(err)
		}
		if len(dropped) == 0 && !n.filtered[cookie] || n.severed[cookie] || isForeignMultipath(descriptor, local, remote) {
			return nil
		}
		return n.setDropped(descriptor, cookie, dropped)
	})
}

// setDropped makes a socket ignore the senders, or nobody if there are none.
func (n *Network) setDropped(descriptor int, cookie uint64, senders map[netip.Addr]int) error {
	if len(senders) == 0 {
		delete(n.filtered, cookie)
		return detach(descriptor)
	}
	if err := attach(descriptor, dropSenders(senders)); err != nil {
		return err
	}
	n.filtered[cookie] = true
	return nil
}

// isListener reports whether a socket accepts connections.
func isListener(descriptor int) bool {
	accepts, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	return err == nil && accepts == 1
}

// networkHeader is the offset by which a filter refers to the IP header of a packet, SKF_NET_OFF in linux/filter.h, and
// sourceOffset the one of the source address in an IPv4 header.
const (
	networkHeader = -0x100000
	sourceOffset  = networkHeader + 12
)

// dropSenders returns a filter that drops what the senders send.
func dropSenders(senders map[netip.Addr]int) []unix.SockFilter {
	const acceptAll = 0xffffffff
	offset := int32(sourceOffset)
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(offset)}}
	remaining := len(senders)
	for sender := range senders {
		bytes := sender.As4()
		value := uint32(bytes[0])<<24 | uint32(bytes[1])<<16 | uint32(bytes[2])<<8 | uint32(bytes[3])
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: uint8(remaining)})
		remaining--
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0})
}

// eachSocket calls the function with each IPv4 TCP socket of this process; remote is invalid for a listener. It returns the
// first error.
func eachSocket(function func(descriptor int, local, remote netip.Addr) error) error {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var first error
	for _, entry := range entries {
		number, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		// The copy stays valid when the socket is closed meanwhile and its number is used again.
		descriptor, err := unix.FcntlInt(uintptr(number), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			continue // closed meanwhile
		}
		if local, remote, isTCP := endpoints(descriptor); isTCP {
			if err := function(descriptor, local, remote); err != nil && first == nil {
				first = err
			}
		}
		_ = unix.Close(descriptor)
	}
	return trace.Wrap(first)
}

// endpoints returns the addresses of an IPv4 TCP socket; remote is invalid if it is not connected.
func endpoints(descriptor int) (local, remote netip.Addr, isTCP bool) {
	kind, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil || kind != unix.SOCK_STREAM {
		return local, remote, false
	}
	name, err := unix.Getsockname(descriptor)
	inet, isIPv4 := name.(*unix.SockaddrInet4)
	if err != nil || !isIPv4 {
		return local, remote, false
	}
	if peer, err := unix.Getpeername(descriptor); err == nil {
		if peer, isIPv4 := peer.(*unix.SockaddrInet4); isIPv4 {
			remote = netip.AddrFrom4(peer.Addr)
		}
	}
	return netip.AddrFrom4(inet.Addr), remote, true
}
