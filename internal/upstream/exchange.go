package upstream

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Header is one header of a request to a back end.
type Header struct{ Name, Value string }

// Request describes one exchange to perform.
type Request struct {
	// Address is the IP:port of the back end.
	Address string
	Method  string
	// Target is the path and query.
	Target  string
	Headers []Header
	Body    []byte
	// Exchange is the identity that the answer must echo; see NewExchange.
	Exchange string
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// Interrupter can interrupt the exchange; nil if that is not needed.
	Interrupter *Interrupter
}

// exchangeBytes is the number of random bytes in the identity of an exchange.
const exchangeBytes = 16

// NewExchange returns an unguessable identity for one attempt at one back end.
func NewExchange() string {
	var random [exchangeBytes]byte
	_, _ = rand.Read(random[:]) // never fails, by its documentation
	return hex.EncodeToString(random[:])
}

// Report is what a back end reported about itself with an answer; fields that it did not report are empty.
type Report struct {
	State enginecontract.ServiceState
	Role  enginecontract.Role
	Load  string
	// Backoff is how long the back end asks this gateway to send nothing; 0 if it did not ask.
	Backoff time.Duration
	// Limit is the number of requests per second that the back end accepts from all gateways together; its
	// zero value means no limit. It is nil if the answer does not state it: only a success without a limit
	// means that there is none.
	Limit *backpressure.Limit
}

// Answer is a back end's answer whose header has been read. The caller must close it.
type Answer struct {
	Status int
	Report Report

	attempt  *attempt
	request  *fasthttp.Request
	response *fasthttp.Response // holds the head
	// memory is the part of the client's memory that the body, or an event of it, takes.
	memory *bodybudget.Reservation
	// isComplete is true once the body was read up to its end, declared or not.
	isComplete bool
	isClosed   bool
}

// Do sends a request and reads the header of its answer. The failure is nil if the answer echoes the
// exchange and is no refusal (it has no X-Run-State). The Report is filled whenever the back end answered.
func (c *Client) Do(request Request) (*Answer, Report, *Failure) {
	message := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	fillRequest(message, request)
	if request.Interrupter == nil {
		request.Interrupter = &Interrupter{}
	}
	attempt := &attempt{deadline: request.Deadline, interrupter: request.Interrupter}
	message.SetUserValue(attemptKey, attempt)
	if err := c.http.Do(message, response); err != nil {
		fasthttp.ReleaseRequest(message)
		fasthttp.ReleaseResponse(response)
		return nil, Report{}, &Failure{Verdict: c.verdictWithoutAnswer(attempt.bytesSent), Cause: err}
	}
	answer := &Answer{
		Status:   response.StatusCode(),
		Report:   readReport(&response.Header),
		attempt:  attempt,
		request:  message,
		response: response,
		memory:   c.NewReservation(),
	}
	if failure := c.checkAnswer(answer, request.Exchange); failure != nil {
		answer.Close()
		return nil, answer.Report, failure
	}
	return answer, answer.Report, nil
}

// verdictWithoutAnswer returns the verdict for an exchange without an answer: only a request of which no
// byte was sent has certainly not run.
func (c *Client) verdictWithoutAnswer(sent bool) verdict.Verdict {
	if sent && c.safeguards.IsEnabled(SentMayHaveRun) {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func fillRequest(message *fasthttp.Request, request Request) {
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

// readReport reads what a back end reports about itself in the header.
func readReport(header *fasthttp.ResponseHeader) Report {
	signals := backpressure.ParseDirectives(header.StatusCode(), backpressure.Headers{
		RetryAfter: header.Peek(fasthttp.HeaderRetryAfter), Limit: header.PeekAll(enginecontract.HeaderRequestLimit),
	})
	report := Report{
		State:   enginecontract.ServiceState(header.Peek(enginecontract.HeaderEngineState)),
		Role:    enginecontract.Role(header.Peek(enginecontract.HeaderEngineRole)),
		Load:    string(header.Peek(enginecontract.HeaderEngineLoad)),
		Backoff: signals.Backoff,
	}
	if signals.StatesLimit() {
		report.Limit = &signals.Limit
	}
	return report
}

// checkAnswer returns a Failure if the answer does not belong to the exchange or is a refusal.
func (c *Client) checkAnswer(a *Answer, exchange string) *Failure {
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
	failure.Code = a.readRefusalCode()
	failure.Cause = trace.Wrap(ErrRefused, "status %d, code %q", failure.Status, failure.Code)
	return failure
}

// readRefusalCode reads the code in the body of a refusal; empty if the body has none, is too long or is late.
func (a *Answer) readRefusalCode() string {
	if limit := time.Now().Add(refusalBodyTimeout); limit.Before(a.attempt.deadline) {
		a.SetReadDeadline(limit)
	}
	body, isWhole, err := a.memory.ReadAvailable(a, maximumRefusalBody, 1)
	if err != nil || !isWhole {
		return ""
	}
	return gjson.GetBytes(body, "error.code").String()
}

// Read reads the body. io.EOF means that the body has ended as declared, or with its connection if HasLength is false and no chunks
// are declared either.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.attempt.body.Read(buffer)
	if framing.IsEnd(err) {
		a.isComplete = true
		return n, io.EOF
	}
	return n, err
}

// Memory returns the reservation for the body, which Close releases.
func (a *Answer) Memory() *bodybudget.Reservation { return a.memory }

// TakeMemory returns the reservation for a body that is used beyond Close. The caller must release it.
func (a *Answer) TakeMemory() *bodybudget.Reservation {
	taken := a.memory
	a.memory = nil
	return taken
}

// ReadAll reads the whole body, up to a limit. It returns ErrTruncated if the body is incomplete, and bodybudget.ErrExhausted if other
// answers take the memory for it for too long.
func (a *Answer) ReadAll() ([]byte, error) {
	body, err := a.memory.ReadUpTo(a, maximumBufferedResponse+1)
	if errors.Is(err, bodybudget.ErrExhausted) {
		return nil, trace.Wrap(err)
	}
	if err != nil {
		return nil, trace.Wrap(fmt.Errorf("%w: %w", ErrTruncated, err))
	}
	if len(body) > maximumBufferedResponse {
		return nil, trace.LimitExceeded("answer is longer than %d bytes", maximumBufferedResponse)
	}
	return body, nil
}

// HasLength reports whether the answer states its length, or has no body.
func (a *Answer) HasLength() bool {
	kind := a.attempt.body.Kind()
	return kind == framing.None || kind == framing.Length
}

// Header returns the value of a header of the answer.
func (a *Answer) Header(name string) string { return string(a.response.Header.Peek(name)) }

// SetReadDeadline sets the deadline of the next reads, unless the exchange was interrupted.
func (a *Answer) SetReadDeadline(deadline time.Time) {
	a.attempt.interrupter.setReadDeadline(deadline)
}

// Close ends the exchange. The connection is reused only if the body was read completely.
func (a *Answer) Close() {
	if a.isClosed {
		return
	}
	a.isClosed = true
	if a.memory != nil {
		a.memory.Release()
	}
	reuse := a.isComplete && !a.response.ConnectionClose()
	a.attempt.release(reuse)
	fasthttp.ReleaseRequest(a.request)
	fasthttp.ReleaseResponse(a.response)
}
