// Package silence makes TCP sockets ignore what their peers send, as a machine that stands still does.
package silence

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Begin makes the kernel drop every segment that arrives for the connection or listener, unacknowledged. A listener must
// not use multipath TCP, whose sockets accept no packet filters; see Listen.
func Begin(socket syscall.Conn) error {
	return control(socket, func(descriptor int) error { return attach(descriptor, dropAll) })
}

// End makes the kernel accept segments again.
func End(socket syscall.Conn) error {
	return control(socket, detach)
}

// dropAll is a filter that drops everything.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// attach makes the kernel pass what arrives for a socket through the filter.
func attach(descriptor int, filter []unix.SockFilter) error {
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return trace.Wrap(unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
}

// detach removes the filter of a socket; it does nothing if there is none.
func detach(descriptor int) error {
	err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	if errors.Is(err, unix.ENOENT) {
		return nil
	}
	return trace.Wrap(err)
}

func control(socket syscall.Conn, call func(descriptor int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var callErr error
	if err := raw.Control(func(descriptor uintptr) { callErr = call(int(descriptor)) }); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(callErr)
}

// Listen opens a TCP listener on the loopback interface that can be silenced.
func Listen() (*net.TCPListener, error) {
	listener, err := ListenAt("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// ListenAt listens as net.Listen does, but without multipath TCP, so that the listener can be silenced.
func ListenAt(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), network, address)
	return listener, trace.Wrap(err)
}
