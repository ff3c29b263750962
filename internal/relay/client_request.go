package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// requestFault is the error for a request that is malformed or must not be forwarded.
type requestFault struct {
	status  int
	message string
}

// retryAfter returns the delay after which the client may send the request again; 0 for a request that it must not repeat.
func (f *requestFault) retryAfter() time.Duration {
	if f.status == fasthttp.StatusServiceUnavailable {
		return retryAfterBusy
	}
	return 0
}

// Error implements error.
func (f *requestFault) Error() string { return fmt.Sprintf("%d: %s", f.status, f.message) }

// singleValueHeaders returns the headers that may appear only once: two recipients could use different values.
func singleValueHeaders(names HeaderNames) []string {
	return []string{
		"Host", "Content-Length", "Transfer-Encoding", names.RequestID, names.DeadlineMs,
		names.LastEventID, names.Resumes, names.Model, names.Tokens, names.PromptParts,
	}
}

// readRequest reads the complete next request. The head's deadline counts from the first byte, which has arrived already.
func (r *Relay) readRequest(connection *clientConnection) (*request, error) {
	limits := r.limits()
	arrivedAt := r.clock.now()
	_ = connection.SetReadDeadline(r.clock.at(arrivedAt + limits.HeaderTimeout))
	head := &fasthttp.RequestHeader{}
	if err := head.Read(connection.reader); err != nil {
		return nil, classifyHeadError(err)
	}
	if err := r.checkHead(head); err != nil {
		return nil, err
	}
	if bytes.EqualFold(head.Peek("Expect"), []byte("100-continue")) {
		if _, err := connection.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	_ = connection.SetReadDeadline(r.clock.at(arrivedAt + limits.HeaderTimeout + bodyTimeout))
	reservation := r.bodies.NewReservation()
	body, err := readBody(head, connection, limits.BodyBytes, reservation)
	if err != nil {
		reservation.Release()
		return nil, err
	}
	forwarded, err := readPeerProgress(connection, head)
	if err != nil {
		reservation.Release()
		return nil, err
	}
	return &request{
		forwarded: forwarded,
		id:        string(head.Peek(r.dialect.Headers.RequestID)),
		method:    string(head.Method()),
		target:    string(head.RequestURI()),
		host:      string(head.Host()),
		header:    head,
		body:      body,
		arrivedAt: arrivedAt,

		bodyReservation: reservation,
	}, nil
}

// bodyTimeout bounds the time that a client may take to send a body.
const bodyTimeout = 10 * time.Second

// newSlowRequestFault returns the fault of a request that was not received in time.
func newSlowRequestFault() *requestFault {
	return &requestFault{fasthttp.StatusRequestTimeout, "the request was sent too slowly"}
}

// classifyHeadError returns a requestFault for a malformed or late head, and the error itself for a connection that ended.
func classifyHeadError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return &requestFault{fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"}
	case isTimeout(err):
		return newSlowRequestFault()
	case errors.Is(err, io.EOF):
		return err
	default:
		return &requestFault{fasthttp.StatusBadRequest, "the head of the request cannot be read"}
	}
}

// checkHead rejects heads that two recipients may interpret differently.
func (r *Relay) checkHead(head *fasthttp.RequestHeader) error {
	bad := func(message string) error { return &requestFault{fasthttp.StatusBadRequest, message} }
	if !head.IsHTTP11() {
		return bad("only HTTP/1.1 is spoken here")
	}
	target := string(head.RequestURI())
	if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \t\r\n#") {
		return bad("the target must be a path")
	}
	framingHeaders := 0 // fasthttp keeps only one of several such headers, so the raw lines are counted
	for line := range bytes.Lines(head.RawHeaders()) {
		name, _, found := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if len(name) == 0 && !found {
			continue
		}
		if !found || !grammar.IsToken(name) {
			return bad("a header's name is malformed or its line is folded")
		}
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			framingHeaders++
		}
	}
	if framingHeaders > 1 {
		return bad("the body's length is given twice")
	}
	for _, name := range r.singleValueHeaders {
		if len(head.PeekAll(name)) > 1 {
			return bad("the header " + name + " appears twice")
		}
	}
	if encoding := head.Peek("Transfer-Encoding"); len(encoding) > 0 && !bytes.EqualFold(encoding, []byte("chunked")) {
		return bad("the transfer encoding is not chunked")
	}
	return nil
}

// readBody reads a body with a length or in chunks, up to the limit. The reservation covers it.
func readBody(head *fasthttp.RequestHeader, connection *clientConnection, limit int, reservation *bodybudget.Reservation) ([]byte, error) {
	tooLarge := &requestFault{fasthttp.StatusRequestEntityTooLarge, "the body is too large"}
	length := head.ContentLength()
	switch {
	case length > limit:
		return nil, tooLarge
	case length > 0:
		body, err := reservation.ReadLength(connection.reader, length)
		return body, classifyBodyError(err, err)
	case length != -1:
		return nil, nil
	}
	body, err := reservation.ReadUpTo(framing.NewChunkedBody(connection.reader), limit+1)
	if err != nil {
		return nil, classifyBodyError(err, &requestFault{fasthttp.StatusBadRequest, "the body ended before its last chunk"})
	}
	if len(body) > limit {
		return nil, tooLarge
	}
	return body, nil
}

// classifyBodyError returns a requestFault for a late body and for one that finds no memory; broken stands for any other error.
func classifyBodyError(err, broken error) error {
	switch {
	case errors.Is(err, bodybudget.ErrExhausted):
		return &requestFault{fasthttp.StatusServiceUnavailable, "the bodies of other requests take this relay's memory"}
	case isTimeout(err):
		return newSlowRequestFault()
	default:
		return broken
	}
}
