// Package linkserver gives tests servers on loopback whose connections behave as those across an ordinary link do: a long request does not fit
// into their buffers.
package linkserver

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// segmentBytes is the size of a segment on an ordinary link. Those of loopback are larger, and so are its buffers.
const segmentBytes = 1460

// Option is an option of the connections that a listener accepts.
type Option struct{ level, name, value int }

// SmallReceiveBuffer makes the kernel take little more of a request than the server reads.
var SmallReceiveBuffer = ReceiveBuffer(2 * segmentBytes)

// ReceiveBuffer keeps the kernel from taking more than about twice the given number of bytes that the server has not read, also on connections
// that have carried long requests before.
func ReceiveBuffer(bytes int) Option { return Option{unix.SOL_SOCKET, unix.SO_RCVBUF, bytes} }

// Listen listens at a loopback address, with the segments of an ordinary link and further options. Its connections can be silenced
// (internal/standin/silence), since they do not use multipath TCP.
func Listen(address string, options ...Option) (net.Listener, error) {
	options = append([]Option{{unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes}}, options...)
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			for _, option := range options {
				failed = errors.Join(failed, unix.SetsockoptInt(int(descriptor), option.level, option.name, option.value))
			}
		})
		return errors.Join(err, failed)
	}}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// Serve passes each connection of a listener to a function, in a goroutine of its own, and closes the connection then. It returns when the
// listener is closed.
func Serve(listener net.Listener, handle func(connection *net.TCPConn)) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer connection.Close()
			handle(connection.(*net.TCPConn))
		}()
	}
}
