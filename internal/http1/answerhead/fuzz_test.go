package answerhead_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against an answer that two recipients read differently: each head that passes must mean the same to the other readers of heads
// that get it afterwards.
func FuzzHeadsMeanTheSameToOtherReaders(f *testing.F) {
	answer := halfhead.Answer{Headers: "A: b\r\n", Body: "body"}
	for _, way := range brokenanswer.Heads(answer) {
		f.Add([]byte(way.Text))
	}
	for _, unusual := range brokenanswer.UnusualAnswers(answer) {
		f.Add([]byte(unusual.Text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := answerhead.Reader{}
		head, err := reader.Next(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		requireGrammar(t, head.Bytes)
		if bytes.Contains(bytes.ToLower(head.Bytes), []byte("\r\ntrailer:")) {
			return // the other readers refuse some names that it may announce
		}
		other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head.Bytes)), nil)
		require.NoError(t, err)
		require.Equal(t, head.Status, other.StatusCode)
		require.Equal(t, head.Body.Kind == framing.Chunks, len(other.TransferEncoding) > 0 && head.Status != 204 && head.Status != 304)
		if head.Body.Kind == framing.Length {
			require.EqualValues(t, head.Body.Length, other.ContentLength)
		}
		fields := fasthttp.ResponseHeader{}
		declared, err := answerhead.Read(&fields, bufio.NewReader(bytes.NewReader(text)))
		require.NoError(t, err)
		require.Equal(t, head.Body, declared)
		require.Equal(t, head.Status, fields.StatusCode())
	})
}

// requireGrammar requires lines that end with CRLF, and after the first one a token and a colon in each, and no other control bytes
// than tabs.
func requireGrammar(t *testing.T, head []byte) {
	t.Helper()
	lines := strings.Split(string(head), "\r\n")
	require.Equal(t, []string{"", ""}, lines[len(lines)-2:])
	require.Regexp(t, `^HTTP/1\.[0-9] [1-5][0-9][0-9] `, lines[0])
	for _, line := range lines[1 : len(lines)-2] {
		name, _, found := strings.Cut(line, ":")
		require.True(t, found)
		require.True(t, grammar.IsToken([]byte(name)))
	}
	for _, character := range []byte(strings.ReplaceAll(string(head), "\r\n", "")) {
		require.True(t, grammar.IsText(character))
	}
}
