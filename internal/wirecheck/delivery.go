package wirecheck

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stateClosed is the state of a TCP socket whose connection has ended in both directions, TCP_CLOSE in net/tcp_states.h.
const stateClosed = 7

// Delivery is what the kernel knows of the bytes that were written to a connection.
type Delivery struct {
	// Unacknowledged is the number of bytes that the peer's kernel has not acknowledged.
	Unacknowledged int
	// IsClosed is true if the connection carries nothing any more in either direction, as after a reset.
	IsClosed bool
	// UnansweredFor is how long segments, or probes of a window that the peer has closed, have been on their way without any
	// acknowledgement; 0 if none are.
	UnansweredFor time.Duration
}

// DeliveryOf returns what the kernel knows of the bytes that were written to a connection. It knows of none for a connection without
// access to its socket, or whose system does not tell.
func DeliveryOf(connection net.Conn) (delivery Delivery) {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return Delivery{}
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return Delivery{}
	}
	_ = raw.Control(func(descriptor uintptr) { delivery = deliveryOf(int(descriptor)) }) // fails on a connection that was closed here
	return delivery
}

func deliveryOf(descriptor int) Delivery {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return Delivery{}
	}
	count, err := unix.IoctlGetInt(descriptor, unix.TIOCOUTQ) // SIOCOUTQ of sockets
	if err != nil {
		return Delivery{}
	}
	delivery := Delivery{Unacknowledged: count, IsClosed: info.State == stateClosed}
	if info.Unacked > 0 || info.Probes > 0 {
		delivery.UnansweredFor = time.Duration(info.Last_ack_recv) * time.Millisecond
	}
	return delivery
}
