package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/lines"
)

const (
	bufferBytes = 2 << 10
	// reserveFactor is by how much more memory an event gets at each step, and copiesOfEvent how often it is in memory while it is
	// forwarded: as it was read, with others that are sent with it, and in the message to the client.
	reserveFactor = 2
	copiesOfEvent = 3
	// maxEventBytes bounds one event together with the comments and empty lines before it. Streams of many clients may have such
	// an event at once.
	maxEventBytes = 128 << 10
)

// ErrTooLong means that an event, with the comments before it, is longer than maxEventBytes.
var ErrTooLong = errors.New("an event, with the comments before it, is longer than the relay accepts")

// Reader splits a stream's body into events.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	// memory is the reservation for the event in the buffer, which covers one of reserved bytes.
	memory   *bodybudget.Reservation
	reserved int
	// commentBytes is the size of the comments and empty lines since the last event, which were returned already.
	commentBytes int
	// peeked is what Next returns next; nil if nothing was read ahead.
	peeked *peekedEvent
}

// peekedEvent is a result of Reader.Next.
type peekedEvent struct {
	event Event
	err   error
}

// NewReader returns a Reader of the body of an answer. A long event extends the reservation until the next one is read.
func NewReader(body io.Reader, memory *bodybudget.Reservation) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, bufferBytes), memory: memory, reserved: bodybudget.FreeBytes}
}

// Peek waits for what Next will return, and returns it.
func (r *Reader) Peek() (Event, error) {
	if r.peeked == nil {
		event, err := r.read()
		r.peeked = &peekedEvent{event, err}
	}
	return r.peeked.event, r.peeked.err
}

// Next returns the next complete event, or comments that an empty line ends; its bytes are valid until the next call. At the end of the stream it returns io.EOF, or
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
	r.releaseEvent()
	for {
		lineStart := len(r.buffer)
		err := r.readLine()
		switch {
		case framing.IsEnd(err):
			return Event{Bytes: r.buffer, ID: ID(r.buffer)}, err
		case err != nil:
			return Event{}, err
		}
		if lineStart > 0 && isEmptyLine(r.buffer[lineStart:]) {
			event := Event{Bytes: r.buffer, ID: ID(r.buffer)}
			r.countComments(event)
			return event, nil
		}
	}
}

// readLine appends the next line to the buffer. It reserves memory before the buffer grows beyond what is reserved.
func (r *Reader) readLine() error {
	limit := maxEventBytes - r.commentBytes
	for {
		var err error
		r.buffer, err = lines.Append(r.buffer, r.source, min(limit, r.reserved))
		switch {
		case !errors.Is(err, lines.ErrTooLong):
			return err
		case len(r.buffer) > limit:
			return ErrTooLong
		}
		if err := r.reserveMore(); err != nil {
			return err
		}
		if r.buffer[len(r.buffer)-1] == '\n' {
			return nil
		}
	}
}

// reserveMore reserves memory for a longer event. It waits for that of other answers.
func (r *Reader) reserveMore() error {
	longer := reserveFactor * r.reserved
	if err := r.memory.Grow(copiesOfEvent * longer); err != nil {
		return err
	}
	r.reserved = longer
	return nil
}

// releaseEvent empties the buffer, and gives back the memory of a long event.
func (r *Reader) releaseEvent() {
	r.buffer = r.buffer[:0]
	if r.reserved > bodybudget.FreeBytes {
		r.buffer, r.reserved = nil, bodybudget.FreeBytes
		r.memory.Release()
	}
}

// countComments counts the bytes that were returned since the last event.
func (r *Reader) countComments(event Event) {
	if event.HasField() {
		r.commentBytes = 0
		return
	}
	r.commentBytes += len(event.Bytes)
}

// HasEvent reports whether the buffer holds the rest of the next event, so that Next returns it without blocking.
func (r *Reader) HasEvent() bool {
	buffered, err := r.source.Peek(r.source.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 && line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}
