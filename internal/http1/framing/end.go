package framing

import (
	"errors"
	"io"
)

// End says how far a body was read, and what is known of its end.
type End int

// Ends of bodies.
const (
	// Unread: more of the body may follow.
	Unread End = iota
	// Declared: the body was read up to the end that its sender has declared.
	Declared
	// Undeclared: the sender has closed the connection, which does not say whether the body is complete.
	Undeclared
	// Broken: the body ended before its declared end, or its connection failed.
	Broken
)

// IsEnd reports whether the error of a read is that of the body's end, declared or not.
func IsEnd(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, ErrUndeclaredEnd) }

// String returns the name of the end in log lines and metrics.
func (e End) String() string {
	switch e {
	case Unread:
		return "unread"
	case Declared:
		return "declared"
	case Undeclared:
		return "undeclared"
	default:
		return "broken"
	}
}
