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
	// maximumEventBytes bounds one event; a longer one is malformed.
	maximumEventBytes = 1 << 20
)

var dataPrefix = []byte("data:")

// Scanner splits a server-sent-event stream into events.
type Scanner struct {
	reader *bufio.Reader
	long   []byte // a line that did not fit the reader's buffer
}

// NewScanner returns a scanner over an engine's body.
func NewScanner(body io.Reader) *Scanner {
	return &Scanner{reader: bufio.NewReaderSize(body, scannerBufferBytes)}
}

// Next returns the next event. It returns io.EOF at the end of the body and an error that
// wraps ErrMalformed when the stream breaks the contract. A last line without its newline
// is a cut, not an event: it is reported as io.ErrUnexpectedEOF.
func (s *Scanner) Next() (Event, error) {
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // an empty line, a comment or a field that the contract does not use
		}
		return parseEvent(bytes.TrimSpace(data))
	}
}

// line returns the next line without its end.
func (s *Scanner) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		switch {
		case err == nil && len(s.long) == 0:
			return bytes.TrimRight(part, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(s.long, part...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			s.long = append(s.long, part...)
			if len(s.long) > maximumEventBytes {
				return nil, trace.Wrap(ErrMalformed, "event is longer than %d bytes", maximumEventBytes)
			}
		case errors.Is(err, io.EOF) && len(part)+len(s.long) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
