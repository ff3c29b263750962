package load

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	headerKind = "X-Request-Kind"
	// deadlineGrace is how long a caller waits beyond the deadline before it gives up.
	deadlineGrace = 10 * time.Second
	// defaultTimeout replaces the deadline for kinds without one.
	defaultTimeout = 60 * time.Second
	// idleConnectionTimeout is shorter than the gateways' timeout, so that the client closes idle connections first.
	idleConnectionTimeout = 2 * time.Second
)

// client sends requests and checks their answers. It is safe for concurrent use.
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
		Dial:                      checkedconn.FastDial(dialer.Dial),
		ReadBufferSize:            answerhead.MaxBytes,
		MaxConnsPerHost:           1 << 16,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleConnectionTimeout,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// send sends one request and returns its result. Times in the result count from due, when the request was to be sent.
// The text of a chat's answer is written to echo as it arrives.
func (c *client) send(req request, due time.Time, echo io.Writer) (result Result) {
	result = Result{
		Kind: req.kind, Tenant: req.tenant, Due: req.arrival.at, Prompt: req.promptKey, Key: req.key, Gateway: c.target.addressFor(req),
	}
	defer func() { result.Ended = time.Now() }()
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	c.fillRequest(call, req)
	wait := req.deadline
	if wait == 0 {
		wait = defaultTimeout
	}
	call.SetTimeout(wait + deadlineGrace)
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
		result.readRefusal(body)
	case req.chat:
		result.checkStream(req, body, due, echo)
		result.readFinalVerdict(body, &answer.Header)
	default:
		result.checkPage(req, body, due)
	}
	result.Total = time.Since(due)
	return result
}

// maxAfterStreamBytes bounds what may follow the end marker of a stream.
const maxAfterStreamBytes = 64 << 10

// readFinalVerdict reads a stream to its end and replaces the verdict by that of the trailer. A
// stream that was cut, or that goes on after its end marker, has no trailer.
func (r *Result) readFinalVerdict(body io.Reader, header *fasthttp.ResponseHeader) {
	if _, err := io.CopyN(io.Discard, body, maxAfterStreamBytes); !errors.Is(err, io.EOF) {
		return
	}
	if final := header.Peek(verdict.Trailer); len(final) > 0 {
		r.Verdict = string(final)
	}
}

func (c *client) fillRequest(call *fasthttp.Request, req request) {
	call.SetRequestURI("http://" + c.target.addressFor(req) + req.path)
	call.Header.SetMethod(req.method)
	call.SetBody(req.body)
	if len(req.body) > 0 {
		call.Header.SetContentType("application/json")
	}
	if len(c.target.Keys) > 0 {
		call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.target.Keys[req.tenant%len(c.target.Keys)])
	}
	if req.chat {
		call.Header.Set(headerKind, req.kind)
	}
	if req.key != "" {
		call.Header.Set(enginecontract.HeaderIdempotencyKey, req.key)
	}
	if c.target.Direct() {
		call.Header.Set(enginecontract.HeaderExchange, fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
	}
}
