package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

const (
	scannerBufferBytes = 4096
	// maximumEventBytes limits the size of one event, and of the lines without data before it; a longer one is malformed.
	maximumEventBytes = 1 << 20
)

var dataPrefix = []byte("data:")

// Scanner splits a stream of server-sent events into events.
type Scanner struct {
	reader   *bufio.Reader
	longLine []byte // a line that does not fit into the reader's buffer
}

// NewScanner returns a Scanner for the body of an engine's answer.
func NewScanner(body io.Reader) *Scanner {
	return &Scanner{reader: bufio.NewReaderSize(body, scannerBufferBytes)}
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
	s.longLine = s.longLine[:0]
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
		case errors.Is(err, io.EOF) && len(fragment)+len(s.longLine) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
