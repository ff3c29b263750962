package link

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip is how long after the end of a server's stream the reset arrives that answers the rest of the request.
const roundTrip = 20 * time.Millisecond

// Crash ends a connection as the machine of a process that crashes with nothing unread does, seen across a link: the stream ends in the
// ordinary way, and what arrives of the request later is answered by a reset.
func Crash(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	time.Sleep(roundTrip)
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// Dialer returns a dialer whose connections fail with syscall.ETIMEDOUT once their peer has acknowledged nothing for the limit.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
}
