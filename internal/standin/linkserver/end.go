package linkserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
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

// StartEarly starts a server that answers each request with a text before it has received all of it, and ends its connection by the
// function then. The listener must be closed.
func StartEarly(text string, end func(connection *net.TCPConn)) (net.Listener, error) {
	listener, err := Listen("127.0.0.1:0", SmallReceiveBuffer)
	if err != nil {
		return nil, err
	}
	go Serve(listener, func(connection *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = io.WriteString(connection, text) // fails if the client has gone
		end(connection)
	})
	return listener, nil
}

// ReceiveOn ends the server's own stream, and receives the rest of the request.
func ReceiveOn(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}
