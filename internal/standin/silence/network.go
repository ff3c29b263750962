package silence

import (
	"errors"
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
// their own dialers and listeners. All sockets must be IPv4, bound to one of the addresses, and not multipath TCP.
//
// It is safe for concurrent use. There may be only one Network in a process. While a method runs, a socket that another
// goroutine closes may stay open for a moment longer, so that the port of a listener stays in use.
type Network struct {
	mutex sync.Mutex
	// blocked holds, by receiver and sender, the number of blocks under way.
	blocked map[netip.Addr]map[netip.Addr]int
	// severed holds the cookies of the sockets that ignore everything for good.
	severed map[uint64]bool
}

// Block makes the receivers ignore the senders until the returned function is called. An address ignores nothing that it
// sends to itself. No connection can be opened between the two meanwhile, from either side, as no handshake can complete.
func (n *Network) Block(receivers, senders []netip.Addr) (unblock func() error, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.count(receivers, senders, 1)
	var once sync.Once
	unblock = func() (err error) {
		once.Do(func() {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.count(receivers, senders, -1)
			err = n.apply()
		})
		return err
	}
	return unblock, n.apply()
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

// isSevered reports whether a socket ignores everything for good.
func (n *Network) isSevered(descriptor int) bool {
	cookie, err := unix.GetsockoptUint64(descriptor, unix.SOL_SOCKET, unix.SO_COOKIE)
	return err == nil && n.severed[cookie]
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

// count adds to the number of blocks of each pair.
func (n *Network) count(receivers, senders []netip.Addr, change int) {
	if n.blocked == nil {
		n.blocked = make(map[netip.Addr]map[netip.Addr]int)
	}
	for _, address := range slices.Concat(receivers, senders) {
		if n.blocked[address] == nil {
			n.blocked[address] = make(map[netip.Addr]int)
		}
	}
	for _, receiver := range receivers {
		for _, sender := range senders {
			n.blocked[receiver][sender] += change
			if receiver == sender || n.blocked[receiver][sender] == 0 {
				delete(n.blocked[receiver], sender)
			}
		}
	}
}

// apply sets the filter of each socket of an address that has been blocked from others, or others from it.
func (n *Network) apply() error {
	return eachSocket(func(descriptor int, local, remote netip.Addr) error {
		senders, isKnown := n.blocked[local]
		if !isKnown || n.isSevered(descriptor) {
			return nil
		}
		if remote.IsValid() || !isListener(descriptor) {
			return setDropped(descriptor, senders)
		}
		err := setDropped(descriptor, n.unreachableFrom(local))
		if len(senders) == 0 && errors.Is(err, unix.EOPNOTSUPP) {
			return nil // a listener that uses multipath TCP takes no filter; only others ignore its address
		}
		return err
	})
}

// setDropped makes a socket ignore exactly the senders.
func setDropped(descriptor int, senders map[netip.Addr]int) error {
	if len(senders) > 0 {
		return attach(descriptor, dropSenders(senders))
	}
	return detach(descriptor)
}

// unreachableFrom returns the addresses with which an address can complete no handshake: those that it ignores, and those that
// ignore it, whose first packet arrives but whose answer would be lost.
func (n *Network) unreachableFrom(local netip.Addr) map[netip.Addr]int {
	unreachable := maps.Clone(n.blocked[local])
	for receiver, senders := range n.blocked {
		if count := senders[local]; count > 0 {
			unreachable[receiver] = count
		}
	}
	return unreachable
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
