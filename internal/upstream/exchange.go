package upstream

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Header is one header of a request to a back end.
type Header struct{ Name, Value string }

// Request is one exchange to be carried out.
type Request struct {
	// Address of the back end, IP:port.
	Address string
	Method  string
	// Target is path and query.
	Target  string
	Headers []Header
	Body    []byte
	// Exchange is the identity that the answer must echo; see NewExchange.
	Exchange string
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// Interrupter breaks the exchange off; nil when nobody needs to.
	Interrupter *Interrupter
}

// exchangeBytes is the number of random bytes in an exchange's identity.
const exchangeBytes = 16

// NewExchange returns an unguessable identity for one attempt at one back end.
func NewExchange() string {
	var random [exchangeBytes]byte
	_, _ = rand.Read(random[:]) // never fails, by its documentation
	return hex.EncodeToString(random[:])
}

// Report is what a back end said of itself on an answer; empty fields were not said.
type Report struct {
	State enginecontract.ServiceState
	Role  enginecontract.Role
	Load  string
	// Backoff is how long the back end wants nothing from this gateway; 0 when it did not ask.
	Backoff time.Duration
	// Limit is how many requests a second the back end takes of all gateways together, the zero value for no limit; nil
	// where the answer said nothing of that: only a success says by its silence that there is none.
	Limit *backpressure.Limit
}

// Answer is the beginning of a back end's answer. Close it.
type Answer struct {
	Status int
	Report Report

	attempt  *attempt
	request  *fasthttp.Request
	response *fasthttp.Response
	body     io.Reader
	whole    bool
	closed   bool
}

// Do sends a request and reads the head of its answer. The failure is nil when the answer
// echoes the exchange and is not a refusal (X-Run-State is absent). Report is filled
// whenever a back end answered.
func (c *Client) Do(request Request) (*Answer, Report, *Failure) {
	message := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	fill(message, request)
	if request.Interrupter == nil {
		request.Interrupter = &Interrupter{}
	}
	attempt := &attempt{deadline: request.Deadline, interrupter: request.Interrupter}
	message.SetUserValue(attemptKey, attempt)
	if err := c.http.Do(message, response); err != nil {
		fasthttp.ReleaseRequest(message)
		fasthttp.ReleaseResponse(response)
		return nil, Report{}, &Failure{Verdict: c.sentVerdict(attempt.sent), Cause: err}
	}
	answer := &Answer{
		Status:   response.StatusCode(),
		Report:   readReport(&response.Header),
		attempt:  attempt,
		request:  message,
		response: response,
		body:     response.BodyStream(),
	}
	if failure := c.check(answer, request.Exchange); failure != nil {
		answer.Close()
		return nil, answer.Report, failure
	}
	return answer, answer.Report, nil
}

// sentVerdict is the verdict when there is no answer: only a request of which nothing was
// sent has certainly not run.
func (c *Client) sentVerdict(sent bool) verdict.Verdict {
	if sent && c.safeguards.IsEnabled(SentMayHaveRun) {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func fill(message *fasthttp.Request, request Request) {
	message.SetRequestURI("http://" + request.Address + request.Target)
	message.Header.SetMethod(request.Method)
	for _, header := range request.Headers {
		message.Header.Set(header.Name, header.Value)
	}
	message.Header.Set(enginecontract.HeaderExchange, request.Exchange)
	if len(request.Body) > 0 {
		message.SetBodyRaw(request.Body)
	}
}

// readReport reads what a back end says of itself.
func readReport(header *fasthttp.ResponseHeader) Report {
	asked := backpressure.ParseDirectives(header.StatusCode(), backpressure.Headers{
		RetryAfter: header.Peek(fasthttp.HeaderRetryAfter), Limit: header.PeekAll(enginecontract.HeaderRequestLimit),
	})
	report := Report{
		State:   enginecontract.ServiceState(header.Peek(enginecontract.HeaderEngineState)),
		Role:    enginecontract.Role(header.Peek(enginecontract.HeaderEngineRole)),
		Load:    string(header.Peek(enginecontract.HeaderEngineLoad)),
		Backoff: asked.Backoff,
	}
	if asked.StatesLimit() {
		report.Limit = &asked.Limit
	}
	return report
}

// check decides whether the answer belongs to the exchange and may be used.
func (c *Client) check(a *Answer, exchange string) *Failure {
	header := &a.response.Header
	if string(header.Peek(enginecontract.HeaderExchange)) != exchange && c.safeguards.IsEnabled(EchoCheck) {
		return &Failure{Verdict: verdict.MayHaveRun, Cause: trace.Wrap(ErrForeignAnswer)}
	}
	runState := string(header.Peek(enginecontract.HeaderRunState))
	if runState == "" {
		return nil
	}
	failure := &Failure{Verdict: verdict.MayHaveRun, Status: a.Status}
	if runState == enginecontract.RunStateNotRun {
		failure.Verdict = verdict.NotRun
	}
	failure.RetryAfterSeconds, _ = strconv.Atoi(string(header.Peek(fasthttp.HeaderRetryAfter)))
	if body, err := a.ReadAll(); err == nil {
		failure.Code = gjson.GetBytes(body, "error.code").String()
	}
	failure.Cause = trace.Wrap(ErrRefused, "status %d, code %q", failure.Status, failure.Code)
	return failure
}

// Read reads the body; io.EOF means that the body came to its declared end.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// ReadAll reads a bounded body to its declared end; a shorter one is ErrTruncated.
func (a *Answer) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maximumBufferedResponse+1))
	if err != nil {
		return nil, trace.Wrap(ErrTruncated, "%v", err)
	}
	if len(body) > maximumBufferedResponse {
		return nil, trace.LimitExceeded("answer is longer than %d bytes", maximumBufferedResponse)
	}
	return body, nil
}

// HasLength reports whether the answer declares its length.
func (a *Answer) HasLength() bool { return a.response.Header.ContentLength() >= 0 }

// Header returns one header of the answer.
func (a *Answer) Header(name string) string { return string(a.response.Header.Peek(name)) }

// SetReadDeadline bounds the next reads, unless the exchange was interrupted.
func (a *Answer) SetReadDeadline(deadline time.Time) {
	a.attempt.interrupter.setReadDeadline(deadline)
}

// Close ends the exchange. The connection is used again only after a whole body.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	reuse := a.whole && !a.response.ConnectionClose()
	_ = a.response.CloseBodyStream() // closing a body that is not whole may report just that
	a.attempt.release(reuse)
	fasthttp.ReleaseRequest(a.request)
	fasthttp.ReleaseResponse(a.response)
}
