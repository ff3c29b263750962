package relay

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
)

// replier writes the one answer to a request to its client.
type replier struct {
	connection *clientConnection
	names      HeaderNames
	requestID  string
	// close is true if the connection is closed after this answer.
	close bool
	// isStopping reports whether the relay stops, which then announces in each answer that it closes the connection.
	isStopping func() bool
	// started is true if bytes of an answer may have been sent.
	started bool
	// status is the status of the answer; refusal is the relay's own answer, nil when a back end's answer is sent.
	status  int
	refusal *refusal
	// framing says how the client determines the end of a back end's answer that is forwarded piece by piece.
	framing framing.Kind
	// aborted is true if the answer cannot be completed: a write failed, or the answer broke off.
	aborted bool
	scratch []byte
	// isToRelay is true if the request was forwarded by another relay, which is told what a refusal means.
	isToRelay bool
}

// refusal is a final answer that the relay itself makes.
type refusal struct {
	status int
	reason string
	// retryAfter is the delay after which the client may retry; 0 omits it from the answer.
	retryAfter time.Duration
	// challenge is the authentication scheme that the client must use; empty omits it.
	challenge string
	// isRetryableAtPeer is true if another relay may serve the request.
	isRetryableAtPeer bool
	// attempts counts the attempts that reached a back end, for the relay that has forwarded the request.
	attempts int
}

// toRelay returns what the refusal means to the relay that has forwarded the request.
func (r refusal) toRelay() forwarding.Refusal {
	switch {
	case r.isRetryableAtPeer, !r.promisesNotRun() && r.status < fasthttp.StatusInternalServerError:
		return forwarding.Unable // the other relay has admitted the request, and knows another configuration
	case r.promisesNotRun():
		return forwarding.NotRun
	default:
		return forwarding.MayHaveRun
	}
}

// promisesNotRun reports whether the status promises that the request was not run and will not be run later.
func (r refusal) promisesNotRun() bool {
	switch r.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// refuse sends an answer that the relay itself makes.
func (r *replier) refuse(response refusal) {
	r.refusal = &response
	r.write(r.refusalMessage(response))
}

// refusalMessage returns an answer that the relay itself makes.
func (r *replier) refusalMessage(response refusal) []byte {
	body := response.reason + "\n"
	head := r.beginHead(response.status)
	head = appendHeader(head, "Content-Type", "text/plain")
	head = appendHeader(head, "Content-Length", strconv.Itoa(len(body)))
	if r.requestID != "" {
		head = appendHeader(head, r.names.RequestID, r.requestID)
	}
	if r.isToRelay {
		head = appendHeader(head, forwarding.HeaderRefusal, string(response.toRelay()))
		head = appendHeader(head, forwarding.HeaderAttempts, strconv.Itoa(response.attempts))
	}
	if response.challenge != "" {
		head = appendHeader(head, "WWW-Authenticate", response.challenge)
	}
	if response.retryAfter > 0 {
		head = appendHeader(head, "Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64))
	}
	return r.endHead(head, []byte(body))
}

// sendWhole sends a back end's answer whose body was read up to its end. It states the length only if the back end has declared
// the end; otherwise the client learns no more than the relay did.
func (r *replier) sendWhole(answer *answer, body []byte) {
	head := r.forwardHead(answer)
	switch {
	case answer.hasNoBody():
	case answer.body.End() == framing.Declared:
		head = appendHeader(head, "Content-Length", strconv.Itoa(len(body)))
	default:
		r.beginUndeclared()
		r.write(r.endHead(head, body))
		r.connection.SetResetOnClose(r.aborted)
		return
	}
	r.write(r.endHead(head, body))
}

// beginUndeclared begins an answer that ends with the connection. Until all of it was written, the connection ends by a reset, also if
// this process is killed or stops.
func (r *replier) beginUndeclared() {
	r.framing, r.close = framing.Close, true
	r.connection.SetResetOnClose(true)
}

// sendFirst sends the head of a back end's answer and the first piece of its body. The answer ends with the connection if the
// back end's does, and has chunks otherwise. The caller must continue with send and end with finish or abort.
func (r *replier) sendFirst(answer *answer, first []byte) {
	head := r.forwardHead(answer)
	if answer.body.Kind() == framing.Close {
		r.beginUndeclared()
		r.write(r.endHead(head, first))
		return
	}
	r.framing = framing.Chunks
	head = appendHeader(head, "Transfer-Encoding", "chunked")
	r.write(appendChunk(r.endHead(head, nil), first))
}

// send sends one piece of the body.
func (r *replier) send(piece []byte) {
	if r.framing == framing.Close {
		r.write(append(r.scratch[:0], piece...))
		return
	}
	r.write(appendChunk(r.scratch[:0], piece))
}

// finish sends the last piece of the body. The last chunk declares the end of an answer in chunks, so it is sent only if the back
// end has declared the end as well; otherwise the answer ends incomplete.
func (r *replier) finish(piece []byte, end framing.End) {
	switch {
	case r.framing == framing.Close:
		r.send(piece)
		r.connection.SetResetOnClose(r.aborted)
	case end == framing.Declared:
		r.write(append(appendChunk(r.scratch[:0], piece), "0\r\n\r\n"...))
	default:
		r.send(piece)
		r.abort()
	}
}

// abort ends an answer that is incomplete, so that it does not look complete: the last chunk is missing, or the connection that
// would end the answer is reset, since finish was not called.
func (r *replier) abort() { r.close, r.aborted = true, true }

func appendChunk(message, piece []byte) []byte {
	if len(piece) == 0 {
		return message
	}
	message = strconv.AppendInt(message, int64(len(piece)), 16)
	message = append(message, "\r\n"...)
	message = append(message, piece...)
	return append(message, "\r\n"...)
}

// beginHead sets the status and returns the status line.
func (r *replier) beginHead(status int) []byte {
	r.status = status
	head := append(r.scratch[:0], "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(status), 10)
	head = append(head, ' ')
	head = append(head, fasthttp.StatusMessage(status)...)
	return append(head, "\r\n"...)
}

// forwardHead returns the status line and those headers of a back end's answer that are forwarded to the client.
func (r *replier) forwardHead(answer *answer) []byte {
	head := r.beginHead(answer.status)
	connectionHeaderNames := connectionNames(answer.head.Peek("Connection"))
	for key, value := range answer.head.All() {
		name := string(key)
		if connectionHeaders[name] || connectionHeaderNames[name] || name == forwarding.HeaderRefusal {
			continue
		}
		head = appendHeader(head, name, string(value))
	}
	return head
}

// endHead completes the head and appends the body.
func (r *replier) endHead(head, body []byte) []byte {
	if r.isStopping() { // asked now, since the stop may have begun while the answer was awaited
		r.close = true
	}
	if r.close {
		head = appendHeader(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	return append(head, body...)
}

func (r *replier) write(message []byte) {
	r.scratch = shrunk(message)
	if r.aborted {
		return
	}
	r.started = true
	if _, err := r.connection.Write(message); err != nil {
		r.aborted = true
	}
}
