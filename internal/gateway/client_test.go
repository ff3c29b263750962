package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// kindClient adds the header with the request kind to each request.
type kindClient struct{ kind string }

func (c *kindClient) Do(request *http.Request) (*http.Response, error) {
	request.Header.Set(HeaderKind, c.kind)
	return http.DefaultClient.Do(request)
}

// callerAnswer is the answer that a caller received.
type callerAnswer struct {
	status  int
	header  http.Header
	body    string
	verdict string
	// text is the text of the answer; isComplete is set when the answer ended as the protocol requires.
	text       string
	isComplete bool
	// errorCode and errorVerdict come from the body or from the error event of the stream.
	errorCode    string
	errorVerdict string
	// finalVerdict comes from the trailer of a stream.
	finalVerdict string
}

const (
	unstreamedBody = `{"model":"base","messages":[{"role":"user","content":"Which grade?"}]}`
	streamBody     = `{"model":"base","stream":true,"messages":[{"role":"user","content":"Which grade?"}]}`
)

// call sends a request as a caller does and reads the answer to its end.
func call(t testing.TB, method, url, body string, headers map[string]string) callerAnswer {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer := callerAnswer{status: response.StatusCode, header: response.Header, verdict: response.Header.Get(verdict.Header)}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		readEvents(&answer, response.Body)
		answer.finalVerdict = response.Trailer.Get(verdict.Trailer)
		return answer
	}
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	answer.body = string(content)
	answer.text = gjson.Get(answer.body, "choices.0.message.content").String() + gjson.Get(answer.body, "choices.0.text").String()
	answer.isComplete = gjson.Get(answer.body, "choices.0.finish_reason").String() != ""
	answer.errorCode = gjson.Get(answer.body, "error.code").String()
	answer.errorVerdict = gjson.Get(answer.body, "run_verdict").String()
	return answer
}

func readEvents(answer *callerAnswer, body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		answer.body += lines.Text() + "\n"
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			answer.isComplete = true
			continue
		}
		answer.text += gjson.Get(data, "choices.0.delta.content").String() + gjson.Get(data, "choices.0.text").String()
		if code := gjson.Get(data, "error.code"); code.Exists() {
			answer.errorCode = code.String()
			answer.errorVerdict = gjson.Get(data, "run_verdict").String()
		}
	}
}

func chat(t testing.TB, gateway *testGateway, kind, body string) callerAnswer {
	return call(t, http.MethodPost, gateway.url+"/v1/chat/completions", body, map[string]string{HeaderKind: kind})
}
