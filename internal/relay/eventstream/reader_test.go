package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

// newTestReader returns a reader with memory for its longest event.
func newTestReader(source io.Reader) *Reader {
	return NewReader(source, bodybudget.New(copiesOfEvent*reserveFactor*maxEventBytes).NewReservation())
}

// splitBytes splits a body into events as Reader does, but byte by byte, without a buffer that a line may exceed. The last
// element is the remainder after the last event.
func splitBytes(body []byte) (events []string) {
	var event, line []byte
	for _, next := range body {
		event, line = append(event, next), append(line, next)
		if next != '\n' {
			continue
		}
		isEmpty := string(line) == "\n" || string(line) == "\r\n"
		if isEmpty && len(event) > len(line) {
			events = append(events, string(event))
			event = nil
		}
		line = nil
	}
	return append(events, string(event))
}

// readAll reads all events, and the remainder after the last one.
func readAll(t *testing.T, source io.Reader) (events []string) {
	reader := newTestReader(source)
	for {
		peeked, peekErr := reader.Peek()
		event, err := reader.Next()
		require.Equal(t, peekErr, err)
		require.Equal(t, string(peeked.Bytes), string(event.Bytes))
		events = append(events, string(event.Bytes))
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			return events
		}
		require.Equal(t, ID([]byte(events[len(events)-1])), event.ID)
	}
}

// Guards against lines that end at the end of the reader's buffer: the line feed of a line of 2,048 bytes was taken for
// the empty line that ends an event, so that the event lost its end to the next one.
func TestLinesOfTheBuffersSize(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n"} {
		for _, size := range []int{bufferBytes - 2, bufferBytes - 1, bufferBytes, bufferBytes + 1, 2*bufferBytes - 1, 2 * bufferBytes, 2*bufferBytes + 1} {
			t.Run(fmt.Sprintf("%q, %d bytes", ending, size), func(t *testing.T) {
				event := "id: 1" + ending + "data: " + strings.Repeat("x", size-len("data: ")) + ending + ending
				body := event + event + "id: 3"
				require.Equal(t, []string{event, event, "id: 3"}, readAll(t, strings.NewReader(body)))
			})
		}
	}
}

// FuzzReader compares the events of arbitrary bodies, read in pieces of arbitrary size, with those that splitBytes finds.
// A byte of 'L' stands for a run of bytes that is as long as the reader's buffer, less the number of 'S' that follow it.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), false)
	f.Add([]byte("L\n\nL\r\n\r\nLSS\n\nLS\r\n\n"), false)
	f.Add([]byte("\n\n: comment\n\nLL\n\nid: 3"), true)
	f.Add([]byte("id:L\n\n\n\r\n\r"), true)
	f.Fuzz(func(t *testing.T, pattern []byte, byteByByte bool) {
		const longestPattern = 64
		pattern = pattern[:min(len(pattern), longestPattern)]
		body := expand(pattern)
		var source io.Reader = bytes.NewReader(body)
		if byteByByte {
			source = iotest.OneByteReader(source)
		}
		require.Equal(t, splitBytes(body), readAll(t, source))
	})
}

// expand replaces the runs of a pattern; see FuzzReader.
func expand(pattern []byte) []byte {
	var body []byte
	for index := 0; index < len(pattern); index++ {
		if pattern[index] != 'L' {
			body = append(body, pattern[index])
			continue
		}
		length := bufferBytes
		for index+1 < len(pattern) && pattern[index+1] == 'S' {
			length--
			index++
		}
		body = append(body, bytes.Repeat([]byte("x"), length)...)
	}
	return body
}

// repeatingReader returns a text again and again, and counts the bytes.
type repeatingReader struct {
	text string
	sent int
}

func (r *repeatingReader) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = r.text[r.sent%len(r.text)]
		r.sent++
	}
	return len(buffer), nil
}

// Guards against streams without an event that are read without a bound, whatever their format.
func TestReaderIsBoundedWithoutEvents(t *testing.T) {
	for name, text := range map[string]string{
		"one line": "x", "lines": "data: x\n", "one comment": ":", "comments": ": x\n", "heartbeats": ": x\n\n", "heartbeats, CRLF": ": x\r\n\r\n", "empty lines": "\n", "zeros": "\x00",
	} {
		t.Run(name, func(t *testing.T) {
			source := &repeatingReader{text: text}
			reader := newTestReader(source)
			var err error
			for err == nil {
				_, err = reader.Next()
			}
			require.ErrorIs(t, err, ErrTooLong)
			require.LessOrEqual(t, source.sent, maxEventBytes+2*bufferBytes)
			require.LessOrEqual(t, cap(reader.buffer), 2*maxEventBytes)
		})
	}
}

// Guards against a long stream with heartbeats between its events that is taken for one without events.
func TestHeartbeatsBetweenEventsAreNotAddedUp(t *testing.T) {
	heartbeats := strings.Repeat(": x\n\n", maxEventBytes/8)
	reader := newTestReader(strings.NewReader(strings.Repeat("id: 1\n\n"+heartbeats, 4)))
	var err error
	for err == nil {
		_, err = reader.Next()
	}
	require.ErrorIs(t, err, io.EOF)
}

// TestLongEvent checks that an event that is longer than the relay holds is an error.
func TestLongEvent(t *testing.T) {
	_, err := newTestReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1))).Next()
	require.True(t, errors.Is(err, ErrTooLong))
}
