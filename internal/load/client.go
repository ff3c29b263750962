package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	headerKind = "X-Request-Kind"
	// codeDeadline is the code of an error event that ends an answer at its deadline.
	codeDeadline = "deadline_exceeded"
	// patience is what a caller waits beyond the deadline before giving up.
	patience = 10 * time.Second
	// noDeadline stands in for kinds without one.
	noDeadline = 60 * time.Second
	streamBuf  = 16 << 10
	// idleLimit is short, so that a gateway doesn't close a connection first.
	idleLimit = 2 * time.Second
)

// Target is where a run's requests go.
type Target struct {
	// Gateways are IP:ports; requests take them in turn.
	Gateways []string
	// GatewayZones are the gateways' zones, in their order; requests of a zone go to
	// the gateways there.
	GatewayZones []string
	// Engines and Pages take their place in a direct run, without gateways.
	Engines []string
	Pages   []string
	// Keys are the tenants' API keys.
	Keys []string
	// SourceAddress is the IP that callers call from.
	SourceAddress string
}

// Direct tells that the run goes past the gateways.
func (t Target) Direct() bool { return len(t.Gateways) == 0 }

// address of the back end or gateway that takes a request.
func (t Target) address(of request) string {
	list := t.gatewaysOf(of.zone)
	if t.Direct() {
		list = t.Pages
		if of.chat {
			list = t.Engines
		}
	}
	return list[of.arrival.number%len(list)]
}

// gatewaysOf returns the gateways of a zone; of the empty zone all of them.
func (t Target) gatewaysOf(zone string) []string {
	if zone == "" {
		return t.Gateways
	}
	var found []string
	for index, present := range t.GatewayZones {
		if present == zone {
			found = append(found, t.Gateways[index])
		}
	}
	return found
}

// client sends requests and checks answers. It is safe for concurrent use.
type client struct {
	target Target
	http   *fasthttp.Client
}

func newClient(target Target) *client {
	dialer := &fasthttp.TCPDialer{Concurrency: 1000}
	if target.SourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(target.SourceAddress)}
	}
	return &client{target: target, http: &fasthttp.Client{
		Dial:                      dialer.Dial,
		MaxConnsPerHost:           1 << 16,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleLimit,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// send sends one request, due at a time, and returns how it ended. The text of a
// chat's answer goes to show as it arrives.
func (c *client) send(of request, due time.Time, show io.Writer) Result {
	result := Result{Kind: of.kind, Tenant: of.tenant, Due: of.arrival.at, Prompt: of.promptKey, Key: of.key}
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	c.fill(call, of)
	wait := of.deadline
	if wait == 0 {
		wait = noDeadline
	}
	call.SetTimeout(wait + patience)
	if err := c.http.Do(call, answer); err != nil {
		result.Outcome, result.Detail = Lost, err.Error()
		result.Total = time.Since(due)
		return result
	}
	defer func() { _ = answer.CloseBodyStream() }()
	result.Status = answer.StatusCode()
	result.Verdict = string(answer.Header.Peek(verdict.Header))
	body := answer.BodyStream()
	if body == nil {
		body = bytes.NewReader(answer.Body())
	}
	switch {
	case result.Status >= fasthttp.StatusBadRequest:
		result.refused(body)
	case of.chat:
		result.checkStream(of, body, due, show)
		result.takeFinalVerdict(body, &answer.Header)
	default:
		result.checkPage(of, body, due)
	}
	result.Total = time.Since(due)
	return result
}

// takeFinalVerdict reads a stream to its end, where its last verdict is. A stream that was
// cut has none.
func (r *Result) takeFinalVerdict(body io.Reader, header *fasthttp.ResponseHeader) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return
	}
	if final := header.Peek(verdict.Trailer); len(final) > 0 {
		r.Verdict = string(final)
	}
}

func (c *client) fill(call *fasthttp.Request, of request) {
	call.SetRequestURI("http://" + c.target.address(of) + of.path)
	call.Header.SetMethod(of.method)
	call.SetBody(of.body)
	if len(of.body) > 0 {
		call.Header.SetContentType("application/json")
	}
	if len(c.target.Keys) > 0 {
		call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.target.Keys[of.tenant%len(c.target.Keys)])
	}
	if of.chat {
		call.Header.Set(headerKind, of.kind)
	}
	if of.key != "" {
		call.Header.Set(enginecontract.HeaderIdempotencyKey, of.key)
	}
	if c.target.Direct() {
		call.Header.Set(enginecontract.HeaderExchange, fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
	}
}

// refused reads the code of an error's body.
func (r *Result) refused(body io.Reader) {
	r.Outcome = Refused
	text, err := io.ReadAll(body)
	if err != nil {
		r.Detail = err.Error()
	}
	var problem struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &problem) == nil {
		r.Code, r.Detail = problem.Error.Code, problem.Error.Message
	}
}

// checkPage compares a page or receipt with what its request makes it.
func (r *Result) checkPage(of request, body io.Reader, due time.Time) {
	text, err := io.ReadAll(body)
	r.FirstByte = time.Since(due)
	want := page.Page(of.path)
	if of.method != fasthttp.MethodGet {
		want = page.Receipt(of.path, of.key, of.body)
	}
	switch {
	case err != nil:
		r.Outcome, r.Detail = Cut, err.Error()
	case string(text) != want:
		r.Outcome, r.Detail = Mixed, fmt.Sprintf("%d bytes in place of %d", len(text), len(want))
	default:
		r.Outcome = Completed
	}
}

// event is what the check reads of one event.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// checkStream reads an event stream to its end and compares it with what the prompt
// makes it: every token in order, the finish, the usage, the end.
func (r *Result) checkStream(of request, body io.Reader, due time.Time, show io.Writer) {
	reader := bufio.NewReaderSize(body, streamBuf)
	check := streamCheck{request: of, result: r, due: due, show: show}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			r.Outcome = Cut
			r.Detail = fmt.Sprintf("ended after %d of %d tokens: %v", r.Tokens, of.outputTokens, err)
			return
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			check.end()
			return
		}
		if !check.add(data) {
			return
		}
	}
}

// streamCheck is how far a stream has been checked.
type streamCheck struct {
	request  request
	result   *Result
	due      time.Time
	show     io.Writer
	expected []byte // text of the next tokens, made one at a time
	finished bool
	usage    int
	prompt   int
}

// add checks one event; false ends the check with the result set.
func (s *streamCheck) add(data []byte) bool {
	var read event
	if err := json.Unmarshal(data, &read); err != nil {
		return s.fail(Mixed, "an event isn't JSON: "+err.Error())
	}
	if read.Error != nil {
		s.result.Code = read.Error.Code
		if deadline := s.request.deadline; read.Error.Code == codeDeadline && deadline > 0 && time.Since(s.due) >= deadline {
			return s.fail(Expired, "")
		}
		return s.fail(Cut, "error event: "+read.Error.Message)
	}
	if read.Usage != nil {
		s.usage, s.prompt = read.Usage.CompletionTokens, read.Usage.PromptTokens
	}
	for _, choice := range read.Choices {
		if choice.FinishReason != nil {
			s.finished = true
		}
		if !s.addText(choice.Delta.Content) {
			return false
		}
	}
	return true
}

func (s *streamCheck) addText(text string) bool {
	for len(text) > 0 {
		if s.result.Tokens == 0 {
			s.result.FirstByte = time.Since(s.due)
		}
		if s.result.Tokens >= s.request.outputTokens {
			return s.fail(Mixed, "more tokens than asked for")
		}
		s.expected = answertext.AppendToken(s.expected[:0], s.request.promptHash, s.result.Tokens)
		if len(text) < len(s.expected) || text[:len(s.expected)] != string(s.expected) {
			return s.fail(Mixed, fmt.Sprintf("token %d is not this prompt's", s.result.Tokens))
		}
		_, _ = s.show.Write(s.expected) // what can't be shown is checked all the same
		text = text[len(s.expected):]
		s.result.Tokens++
	}
	return true
}

// end checks the whole at the end of the stream.
func (s *streamCheck) end() {
	var err error
	switch {
	case s.result.Tokens != s.request.outputTokens:
		err = fmt.Errorf("ended in good order after %d of %d tokens", s.result.Tokens, s.request.outputTokens)
	case !s.finished:
		err = errors.New("no finish reason")
	case s.usage != s.request.outputTokens || s.prompt != s.request.promptTokens:
		err = fmt.Errorf("usage %d+%d in place of %d+%d", s.prompt, s.usage, s.request.promptTokens, s.request.outputTokens)
	}
	if err != nil {
		s.fail(Mixed, err.Error())
		return
	}
	s.result.Outcome = Completed
}

func (s *streamCheck) fail(outcome Outcome, detail string) bool {
	s.result.Outcome, s.result.Detail = outcome, detail
	return false
}
