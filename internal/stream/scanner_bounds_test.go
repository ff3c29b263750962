package stream

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// errEnough ends an endless source, so that a scanner without a bound fails the test and does not run for good.
var errEnough = errors.New("more was read than a bound allows")

// endlessSource returns a text again and again, and counts the bytes, up to a limit.
type endlessSource struct {
	text        string
	sent, limit int
}

func (s *endlessSource) Read(buffer []byte) (int, error) {
	if s.sent > s.limit {
		return 0, errEnough
	}
	for index := range buffer {
		buffer[index] = s.text[s.sent%len(s.text)]
		s.sent++
	}
	return len(buffer), nil
}

// Guards against streams without an event that are read without a bound, whatever their format.
func TestScannerIsBoundedWithoutEvents(t *testing.T) {
	for name, text := range map[string]string{
		"one line": "x", "one data line": "data: x", "comments": ": x\n", "heartbeats": ": x\r\n\r\n", "empty lines": "\n", "other fields": "id: 1\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &endlessSource{text: text, limit: 2 * maximumEventBytes}
			_, err := newTestScanner(source).Next()
			require.ErrorIs(t, err, ErrMalformed)
			require.LessOrEqual(t, source.sent, maximumEventBytes+2*scannerBufferBytes)
		})
	}
}
