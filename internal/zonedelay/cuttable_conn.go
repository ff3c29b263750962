package zonedelay

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// cuttableConn is an outgoing connection that can be reset, or made to hang. While it hangs, its socket drops all packets
// that arrive, so that the kernel's keep-alive probes go unanswered, and what is written is held in this process. That data
// therefore does not count as unacknowledged for the kernel.
type cuttableConn struct {
	net.Conn
	// forget is called when the connection is closed for good.
	forget func(*cuttableConn)

	mutex    sync.Mutex
	hanging  bool
	wasReset bool
	isClosed bool

	writing sync.Mutex // guards held, and the order of writes
	held    []byte
}

// apply applies the mode of a cut; empty for none.
func (c *cuttableConn) apply(mode CutMode) {
	switch mode {
	case CutHang:
		c.hang()
	case CutReset:
		c.reset()
	case CutRefuseNew:
	default:
		c.goOn()
	}
}

func (c *cuttableConn) hang() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hanging {
		c.hanging = true
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
		c.control(func(descriptor int) {
			_ = unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
		})
	}
}

// goOn ends hang. What was held is sent, also if the connection was closed meanwhile, as a kernel does.
func (c *cuttableConn) goOn() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hanging {
		return
	}
	c.hanging = false
	c.control(func(descriptor int) {
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	isClosed := c.isClosed
	go func() {
		c.writing.Lock()
		defer c.writing.Unlock()
		_ = c.sendHeld() // a connection that has ended fails the next read as well
		if isClosed {
			c.finish()
		}
	}()
}

// reset makes the connection behave like one that the peer has reset, and resets it for the peer.
func (c *cuttableConn) reset() {
	c.mutex.Lock()
	c.wasReset = true
	c.mutex.Unlock()
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // fails only for a connection that has ended
	}
	_ = c.Conn.Close()
}

// control calls a function with the socket's descriptor. It does nothing once the socket is closed.
func (c *cuttableConn) control(call func(descriptor int)) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { call(int(descriptor)) })
	}
}

// SyscallConn implements syscall.Conn.
func (c *cuttableConn) SyscallConn() (syscall.RawConn, error) {
	system, isSystem := c.Conn.(syscall.Conn)
	if !isSystem {
		return nil, syscall.EINVAL
	}
	return system.SyscallConn()
}

// Read implements net.Conn.
func (c *cuttableConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	return count, c.endError("read", err)
}

// Write implements net.Conn.
func (c *cuttableConn) Write(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.isHanging() {
		c.held = append(c.held, buffer...)
		return len(buffer), nil
	}
	if err := c.sendHeld(); err != nil {
		return 0, c.endError("write", err)
	}
	count, err := c.Conn.Write(buffer)
	return count, c.endError("write", err)
}

// sendHeld sends what was held while the connection hung. The caller holds the mutex of writing.
func (c *cuttableConn) sendHeld() error {
	if len(c.held) == 0 {
		return nil
	}
	_, err := c.Conn.Write(c.held)
	c.held = nil
	return err
}

func (c *cuttableConn) isHanging() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hanging
}

// endError returns the error with which an operation fails.
func (c *cuttableConn) endError(operation string, err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case err == nil:
		return nil
	case c.isClosed:
		return net.ErrClosed
	case c.wasReset:
		return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(operation, syscall.ECONNRESET)}
	default:
		return err
	}
}

// Close implements net.Conn. The peer of a connection that hangs learns of it when the connection goes on.
func (c *cuttableConn) Close() error {
	c.mutex.Lock()
	wasClosed, hanging, wasReset := c.isClosed, c.hanging, c.wasReset
	c.isClosed = true
	c.mutex.Unlock()
	switch {
	case wasClosed:
		return net.ErrClosed
	case hanging && !wasReset:
		return c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits
	default:
		return c.finish()
	}
}

// finish closes the socket.
func (c *cuttableConn) finish() error {
	go c.forget(c) // its mutex may be held by the one who ends the cut
	err := c.Conn.Close()
	if c.wasResetByCut() {
		return nil
	}
	return err
}

func (c *cuttableConn) wasResetByCut() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wasReset
}

// SetDeadline implements net.Conn.
func (c *cuttableConn) SetDeadline(at time.Time) error { return c.setDeadline(c.Conn.SetDeadline, at) }

// SetReadDeadline implements net.Conn.
func (c *cuttableConn) SetReadDeadline(at time.Time) error {
	return c.setDeadline(c.Conn.SetReadDeadline, at)
}

// SetWriteDeadline implements net.Conn.
func (c *cuttableConn) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(c.Conn.SetWriteDeadline, at)
}

// setDeadline sets a deadline. On a connection that was reset this does not fail, but the next operation does.
func (c *cuttableConn) setDeadline(set func(time.Time) error, at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.isClosed:
		return net.ErrClosed
	case c.wasReset:
		return nil
	default:
		return set(at)
	}
}
