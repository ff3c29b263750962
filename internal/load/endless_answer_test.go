package load

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// longestAnswerBytes is what a caller may read of one answer of the stand-ins, whose pages and errors are shorter.
const longestAnswerBytes = 1 << 20

// endlessBody returns a text again and again, and counts the bytes. It breaks off long after a bounded reader has stopped.
type endlessBody struct {
	text string
	sent int
}

func (b *endlessBody) Read(buffer []byte) (int, error) {
	if b.sent > 16*longestAnswerBytes {
		return 0, errors.New("broken off")
	}
	for index := range buffer {
		buffer[index] = b.text[b.sent%len(b.text)]
		b.sent++
	}
	return len(buffer), nil
}

// Guards against a load tool that reads an answer without end until its memory is used up.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	chat := request{chat: true, outputTokens: 1}
	for name, read := range map[string]func(result *Result, body io.Reader){
		"refusal": func(result *Result, body io.Reader) { result.readRefusal(body) },
		"page": func(result *Result, body io.Reader) {
			result.checkPage(request{method: fasthttp.MethodGet, path: "/"}, body, time.Now())
		},
		"stream":        func(result *Result, body io.Reader) { result.checkStream(chat, body, time.Now(), io.Discard) },
		"after the end": func(result *Result, body io.Reader) { result.readFinalVerdict(body, &fasthttp.ResponseHeader{}) },
	} {
		for _, text := range []string{"x", "\n", ": x\n\n", "data: " + strings.Repeat("x", 100)} {
			t.Run(name+" "+text[:1], func(t *testing.T) {
				body, result := &endlessBody{text: text}, Result{}
				read(&result, body)
				require.NotEqual(t, Completed, result.Outcome)
				require.LessOrEqual(t, body.sent, longestAnswerBytes+2*streamBuffer)
			})
		}
	}
}
