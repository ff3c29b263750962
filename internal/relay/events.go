package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/hazelpitch/hazelpitch/internal/relay/framing"
)

const (
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// event is one server-sent event, including the empty line that ends it.
type event struct {
	bytes []byte
	// id is empty when the event has none.
	id string
}

// eventReader splits a stream's body into events.
type eventReader struct {
	source *bufio.Reader
	buffer []byte
	// peeked is what next returns next; nil if nothing was read ahead.
	peeked *peekedEvent
}

// peekedEvent is a result of eventReader.next.
type peekedEvent struct {
	event event
	err   error
}

// peek waits for what next will return, and returns it.
func (e *eventReader) peek() (event, error) {
	if e.peeked == nil {
		event, err := e.read()
		e.peeked = &peekedEvent{event, err}
	}
	return e.peeked.event, e.peeked.err
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next complete event; its bytes are valid until the next call. At the end of the stream it returns io.EOF, or
// framing.ErrUndeclaredEnd, together with the bytes after the last event. Any other error means that the stream broke off;
// an incomplete event is then dropped.
func (e *eventReader) next() (event, error) {
	if peeked := e.peeked; peeked != nil {
		e.peeked = nil
		return peeked.event, peeked.err
	}
	return e.read()
}

// read reads the next event.
func (e *eventReader) read() (event, error) {
	e.buffer = e.buffer[:0]
	for {
		line, err := e.source.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if len(e.buffer) > maxEventBytes {
			return event{}, errEventTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case framing.IsEnd(err):
			return event{bytes: e.buffer, id: eventID(e.buffer)}, err
		case err != nil:
			return event{}, err
		}
		if isEmptyLine(line) && len(e.buffer) > len(line) {
			return event{bytes: e.buffer, id: eventID(e.buffer)}, nil
		}
	}
}

// buffered reports whether more of the stream can be read without blocking.
func (e *eventReader) buffered() bool { return e.source.Buffered() > 0 }

func isEmptyLine(line []byte) bool {
	return len(line) == 1 && line[0] == '\n' || len(line) == 2 && line[0] == '\r'
}

// eventID returns the value of an event's id field.
func eventID(text []byte) string {
	for line := range bytes.Lines(text) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isCut reports whether the bytes after the last event of a stream are the beginning of another one. Comments and empty lines
// belong to no event.
func (e *event) isCut() bool {
	for line := range bytes.Lines(e.bytes) {
		isWhole := line[len(line)-1] == '\n'
		if !isWhole || !isEmptyLine(line) && line[0] != ':' {
			return true
		}
	}
	return false
}

// isAfter reports whether an event comes after the event with the given identity. Identities that are not numbers cannot be
// compared; the event then counts as later.
func (e *event) isAfter(lastID string) bool {
	id, ownErr := strconv.ParseInt(e.id, 10, 64)
	lastNumber, passedErr := strconv.ParseInt(lastID, 10, 64)
	if ownErr != nil || passedErr != nil {
		return true
	}
	return id > lastNumber
}
