package answerhead

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const bufferBytes = 4 << 10

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

// Guards against heads without end, whatever their format: the bytes read stay below a bound.
func TestReadIsBounded(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"informational heads":      "HTTP/1.1 100 Continue\r\n\r\n",
		"long informational heads": "HTTP/1.1 103 Early Hints\r\nX-Filler: " + strings.Repeat("x", bufferBytes-100) + "\r\n\r\n",
		"header lines":             "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Filler: x\r\n", bufferBytes),
		"one header line":          "HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("x", 2*bufferBytes),
		"status line":              "HTTP/1.1 200 " + strings.Repeat("O", 2*bufferBytes),
		"empty lines":              "\r\n",
		"no HTTP":                  "\x00\xff",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := &repeatingReader{text: text}
			_, err := Read(&fasthttp.ResponseHeader{}, bufio.NewReaderSize(source, bufferBytes))
			require.Error(t, err)
			require.LessOrEqual(t, source.sent, (MaxInformational+1)*bufferBytes)
		})
	}
}

func TestReadSkipsInformationalHeads(t *testing.T) {
	t.Parallel()
	text := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", MaxInformational) + "HTTP/1.1 204 No Content\r\n\r\nrest"
	source := bufio.NewReaderSize(strings.NewReader(text), bufferBytes)
	head := &fasthttp.ResponseHeader{}
	_, err := Read(head, source)
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusNoContent, head.StatusCode())
	rest, err := io.ReadAll(source)
	require.NoError(t, err)
	require.Equal(t, "rest", string(rest))
}
