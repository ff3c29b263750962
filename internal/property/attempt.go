package property

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// longestLine bounds a line of a stream, in bytes.
const longestLine = 1 << 20

// attempt is one attempt of a request and its outcome as the caller observed it.
type attempt struct {
	request *request
	// began and ended are when the attempt began and ended.
	began, ended time.Time
	status       int
	// verdict is the verdict in the response; empty when no response came or its end is missing.
	verdict string
	// complete is true if the response was complete by the protocol.
	complete bool
	text     string
	// cachedTokens is the number of prompt tokens that came from the prefix cache.
	cachedTokens int
	code         string
}

// isFinal reports whether the caller has an outcome and sends no further attempt.
func (s *attempt) isFinal() bool { return s.complete }

// send sends a request to a gateway and reads the response.
func send(ctx context.Context, client *http.Client, address string, of *request) *attempt {
	result := &attempt{request: of, began: time.Now()}
	defer func() { result.ended = time.Now() }()
	call, err := http.NewRequestWithContext(ctx, of.method, "http://"+address+of.path, strings.NewReader(of.body))
	if err != nil { // the addresses and paths of a run always parse
		panic(trace.Wrap(err))
	}
	call.Header.Set("Authorization", "Bearer "+tenantKeys[of.tenant])
	if of.path == enginecontract.PathChat {
		call.Header.Set(gateway.HeaderKind, of.kind)
	}
	if of.key != "" {
		call.Header.Set(enginecontract.HeaderIdempotencyKey, of.key)
	}
	answer, err := client.Do(call)
	if err != nil {
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	result.status = answer.StatusCode
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		result.readEvents(answer.Body)
		return result
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		result.text = strings.TrimSpace(string(body)) // a partial response, which has no verdict
		return result
	}
	result.verdict = answer.Header.Get(verdict.Header)
	result.readCompleteBody(string(body))
	return result
}

func (s *attempt) readCompleteBody(body string) {
	if s.status != http.StatusOK {
		s.code = gjson.Get(body, "error.code").String()
		return
	}
	s.complete = true
	if s.request.path != enginecontract.PathChat {
		s.text = body
		return
	}
	s.text = gjson.Get(body, "choices.0.message.content").String()
	s.cachedTokens = int(gjson.Get(body, "usage.prompt_tokens_details.cached_tokens").Int())
}

// readEvents reads a stream, whose verdict comes at its end.
func (s *attempt) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, longestLine) // a longer line ends the scan, so that the response has no verdict
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == enginecontract.DoneMarker:
			s.complete, s.verdict = true, verdict.Ran.String()
		case gjson.Get(data, "error").Exists():
			s.code = gjson.Get(data, "error.code").String()
			s.verdict = gjson.Get(data, "run_verdict").String()
		default:
			s.text += gjson.Get(data, "choices.0.delta.content").String()
			s.cachedTokens += int(gjson.Get(data, "usage.prompt_tokens_details.cached_tokens").Int())
		}
	}
}
