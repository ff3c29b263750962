package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hazelpitch/hazelpitch/internal/lines"
	"github.com/hazelpitch/hazelpitch/internal/relay/framing"
)

const (
	bufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// ErrTooLong means that an event is longer than maxEventBytes.
var ErrTooLong = errors.New("an event is longer than the relay holds")

// Reader splits a stream's body into events.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	// peeked is what Next returns next; nil if nothing was read ahead.
	peeked *peekedEvent
}

// peekedEvent is a result of Reader.Next.
type peekedEvent struct {
	event Event
	err   error
}

// NewReader returns a Reader of the body of an answer.
func NewReader(body io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, bufferBytes)}
}

// Peek waits for what Next will return, and returns it.
func (r *Reader) Peek() (Event, error) {
	if r.peeked == nil {
		event, err := r.read()
		r.peeked = &peekedEvent{event, err}
	}
	return r.peeked.event, r.peeked.err
}

// Next returns the next complete event; its bytes are valid until the next call. At the end of the stream it returns io.EOF, or
// framing.ErrUndeclaredEnd, together with the bytes after the last event. Any other error means that the stream broke off;
// an incomplete event is then dropped.
func (r *Reader) Next() (Event, error) {
	if peeked := r.peeked; peeked != nil {
		r.peeked = nil
		return peeked.event, peeked.err
	}
	return r.read()
}

// read reads the next event.
func (r *Reader) read() (Event, error) {
	r.buffer = r.buffer[:0]
	for {
		lineStart := len(r.buffer)
		var err error
		r.buffer, err = lines.Append(r.buffer, r.source, maxEventBytes)
		switch {
		case errors.Is(err, lines.ErrTooLong):
			return Event{}, ErrTooLong
		case framing.IsEnd(err):
			return Event{Bytes: r.buffer, ID: ID(r.buffer)}, err
		case err != nil:
			return Event{}, err
		}
		if lineStart > 0 && isEmptyLine(r.buffer[lineStart:]) {
			return Event{Bytes: r.buffer, ID: ID(r.buffer)}, nil
		}
	}
}

// HasEvent reports whether the buffer holds the rest of the next event, so that Next returns it without blocking.
func (r *Reader) HasEvent() bool {
	buffered, err := r.source.Peek(r.source.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 && line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}
