package framing_test

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// bodyOf returns what follows the head.
func bodyOf(text string) string {
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	return body
}

// Guards against chunks that are no chunks by the grammar, and whose data is taken.
func TestSpoiltChunksBreakTheirRule(t *testing.T) {
	for _, way := range brokenanswer.Bodies(halfhead.Answer{Headers: "A: b\r\n", Body: "body"}) {
		t.Run(way.Name, func(t *testing.T) {
			for name, source := range map[string]io.Reader{
				"at once": strings.NewReader(bodyOf(way.Text)), "byte by byte": iotest.OneByteReader(strings.NewReader(bodyOf(way.Text))),
			} {
				body := framing.NewChunkedBody(bufio.NewReader(source))
				_, err := io.ReadAll(body)
				require.ErrorIs(t, err, grammar.ErrMalformed, name)
				require.Equal(t, way.Rule, grammar.BrokenRule(err), name)
				require.Equal(t, framing.Broken, body.End(), name)
			}
		})
	}
}

// Guards against data that waits for what follows it: each piece is returned as soon as it is there.
func TestDataOfAChunkDoesNotWaitForTheNext(t *testing.T) {
	for _, sent := range []string{"4\r\nbo", "4\r\nbody", "4\r\nbody\r", "4\r\nbody\r\n", "4\r\nbody\r\n0", "4\r\nbody\r\n0\r\n", "4\r\nbody\r\n1\r\n"} {
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, sent) }() // and nothing more
		received := make([]byte, 10)
		n, err := framing.NewChunkedBody(bufio.NewReader(reader)).Read(received)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix("body", string(received[:n])) && n > 0, "%q: %q", sent, received[:n])
		require.NoError(t, reader.Close())
	}
}

// Guards against an end of the source that is taken for the end of the body.
func TestChunksThatStopAreCut(t *testing.T) {
	const whole = "4;a=\"b\"\r\nbody\r\n0\r\nX-A: b\r\n\r\n"
	for size := range len(whole) {
		body := framing.NewChunkedBody(bufio.NewReader(strings.NewReader(whole[:size])))
		_, err := io.ReadAll(body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", whole[:size])
		require.Equal(t, framing.Broken, body.End())
	}
	body := framing.NewChunkedBody(bufio.NewReader(strings.NewReader(whole + "rest")))
	received, err := io.ReadAll(body)
	require.NoError(t, err)
	require.Equal(t, "body", string(received))
	require.Equal(t, "X-A: b\r\n", string(body.Trailer()))
}

// Guards against chunks that another reader takes for another body.
func FuzzChunksMeanTheSameToAnotherReader(f *testing.F) {
	answer := halfhead.Answer{Headers: "A: b\r\n", Body: "body"}
	for _, way := range brokenanswer.Bodies(answer) {
		f.Add(bodyOf(way.Text))
	}
	for _, unusual := range brokenanswer.UnusualAnswers(answer) {
		f.Add(bodyOf(unusual.Text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		received, err := io.ReadAll(framing.NewChunkedBody(bufio.NewReader(strings.NewReader(text))))
		if err != nil {
			return
		}
		other, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		if err != nil {
			return // it refuses blanks before extensions
		}
		require.Equal(t, string(other), string(received))
	})
}
