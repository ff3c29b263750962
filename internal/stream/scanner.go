package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

const (
	scannerBufferBytes = 4096
	// maximumEventBytes limits the size of one event, and of the lines without data before it; a longer one is malformed.
	maximumEventBytes = 1 << 20
	// reserveFactor is by how much more memory a line gets at each step, and copiesOfEvent how often an event is in memory while it is
	// passed on: as a line, parsed, and as the event for the caller.
	reserveFactor = 2
	copiesOfEvent = 3
)

var dataPrefix = []byte("data:")

// Scanner splits a stream of server-sent events into events.
type Scanner struct {
	reader   *bufio.Reader
	longLine []byte // a line that does not fit into the reader's buffer
	// memory is the reservation for the line, which covers one of reserved bytes.
	memory   *bodybudget.Reservation
	reserved int
}

// NewScanner returns a Scanner for the body of an engine's answer. A long line extends the reservation until the next one is read.
func NewScanner(body io.Reader, memory *bodybudget.Reservation) *Scanner {
	return &Scanner{reader: bufio.NewReaderSize(body, scannerBufferBytes), memory: memory, reserved: bodybudget.FreeBytes}
}

// Next returns the next event. It returns io.EOF at the end of the body, and an error that wraps ErrMalformed
// if the stream violates the contract. A last line without a newline is not an event: the stream was cut, and
// Next returns io.ErrUnexpectedEOF.
func (s *Scanner) Next() (Event, error) {
	for skipped := 0; skipped <= maximumEventBytes; {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			skipped += len(line) + len("\r\n") // an empty line, a comment or a field that the contract does not use
			continue
		}
		return parseEvent(bytes.TrimSpace(data))
	}
	return Event{}, trace.Wrap(ErrMalformed, "no event in %d bytes", maximumEventBytes)
}

// readLine returns the next line without its line ending.
func (s *Scanner) readLine() ([]byte, error) {
	s.releaseLine()
	for {
		fragment, err := s.reader.ReadSlice('\n')
		switch {
		case err == nil && len(s.longLine) == 0:
			return bytes.TrimRight(fragment, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(s.longLine, fragment...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			s.longLine = append(s.longLine, fragment...)
			if len(s.longLine) > maximumEventBytes {
				return nil, trace.Wrap(ErrMalformed, "event is longer than %d bytes", maximumEventBytes)
			}
			if err := s.reserve(); err != nil {
				return nil, trace.Wrap(err)
			}
		case errors.Is(err, io.EOF) && len(fragment)+len(s.longLine) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// reserve reserves memory for a line that has become longer than what is reserved. It waits for that of other answers.
func (s *Scanner) reserve() error {
	if len(s.longLine) <= s.reserved {
		return nil
	}
	longer := reserveFactor * s.reserved
	if err := s.memory.Grow(copiesOfEvent * longer); err != nil {
		return err
	}
	s.reserved = longer
	return nil
}

// releaseLine empties the line, and gives back the memory of a long one.
func (s *Scanner) releaseLine() {
	s.longLine = s.longLine[:0]
	if s.reserved > bodybudget.FreeBytes {
		s.longLine, s.reserved = nil, bodybudget.FreeBytes
		s.memory.Release()
	}
}
