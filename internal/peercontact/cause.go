package peercontact

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"connectrpc.com/connect"
)

// Cause is why an operation failed.
type Cause string

// Causes of failures.
const (
	// TimedOut means that the peer did not answer within the time for the operation.
	TimedOut Cause = "timed_out"
	// Unacknowledged means that the kernel gave up the connection, because the peer's machine acknowledged nothing.
	Unacknowledged Cause = "unacknowledged"
	// ConnectionRefused means that nothing listens at the address.
	ConnectionRefused Cause = "connection_refused"
	// ConnectionEnded means that the peer reset or closed the connection.
	ConnectionEnded Cause = "connection_ended"
	// Unreachable means that there is no route to the peer.
	Unreachable Cause = "unreachable"
	// NoResources means that this process has no descriptors, ports or memory for a connection.
	NoResources Cause = "no_resources"
	// QueueFull means that the peer's queue of messages is full.
	QueueFull Cause = "queue_full"
	// Rejected means that the peer answered with another error.
	Rejected Cause = "rejected"
	// OtherCause is any other cause.
	OtherCause Cause = "other"
)

// causes are all causes, in the order of Peer.Failures.
var causes = []Cause{TimedOut, Unacknowledged, ConnectionRefused, ConnectionEnded, Unreachable, NoResources, QueueFull, Rejected, OtherCause}

// causeOf returns why an operation failed.
func causeOf(err error) Cause {
	switch {
	case isAny(err, syscall.ETIMEDOUT):
		return Unacknowledged
	case isAny(err, context.DeadlineExceeded, os.ErrDeadlineExceeded) || isTimeout(err):
		return TimedOut
	case isAny(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case isAny(err, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed):
		return ConnectionEnded
	case isAny(err, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN):
		return Unreachable
	case isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL):
		return NoResources
	}
	switch code := connect.CodeOf(err); {
	case code == connect.CodeResourceExhausted:
		return QueueFull
	case connect.IsWireError(err):
		return Rejected
	case code == connect.CodeDeadlineExceeded:
		return TimedOut
	default:
		return OtherCause
	}
}

func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
