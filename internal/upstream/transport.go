package upstream

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
)

// attemptKey is the key of the fasthttp user value that holds a request's attempt.
const attemptKey = "hazelpitch.attempt"

// attempt holds the facts about one exchange that determine its verdict.
type attempt struct {
	deadline time.Time
	// bytesSent is true once at least one byte of the request was passed to the system.
	bytesSent   bool
	interrupter *Interrupter
	// body is the body of the answer whose head was read.
	body *framing.Body
	// release returns the connection to the pool, or closes it.
	release func(reuse bool)
}

// transport performs one exchange for fasthttp's client and records in the attempt whether bytes were sent.
// It leaves the body on the connection, to be read through the Answer.
type transport struct{}

// RoundTrip implements fasthttp.RoundTripper. It never requests a retry.
func (t *transport) RoundTrip(host *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (bool, error) {
	attempt := request.UserValue(attemptKey).(*attempt)
	for {
		remaining := time.Until(attempt.deadline)
		if remaining <= 0 {
			return false, trace.Wrap(ErrDeadline)
		}
		pooled, err := host.AcquireConn(remaining, false)
		if err != nil {
			return false, trace.Wrap(err)
		}
		connection := pooled.Conn().(*trackedConnection)
		if connection.written.Load() > 0 && connection.checkIdle() != nil {
			host.CloseConn(pooled)
			continue
		}
		attempt.release = func(reuse bool) {
			attempt.interrupter.detach()
			if reuse {
				host.ReleaseConn(pooled)
				return
			}
			host.CloseConn(pooled)
		}
		return false, exchange(host, connection, attempt, request, response)
	}
}

// exchange writes the request and reads the header of the response.
func exchange(host *fasthttp.HostClient, connection *trackedConnection, attempt *attempt, request *fasthttp.Request, response *fasthttp.Response) error {
	writtenBefore := connection.written.Load()
	if err := attempt.interrupter.attach(connection, attempt.deadline); err != nil {
		attempt.release(false)
		return trace.Wrap(err)
	}
	writer := host.AcquireWriter(connection)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	host.ReleaseWriter(writer)
	attempt.bytesSent = connection.written.Load() > writtenBefore
	if err != nil {
		attempt.release(false)
		return trace.Wrap(err)
	}
	reader := host.AcquireReader(connection)
	releaseConnection := attempt.release
	attempt.release = func(reuse bool) {
		reuse = reuse && reader.Buffered() == 0
		host.ReleaseReader(reader)
		releaseConnection(reuse)
	}
	declared, err := answerhead.Read(&response.Header, reader)
	if err != nil {
		attempt.release(false)
		return trace.Wrap(err)
	}
	attempt.body = framing.NewAnswerBody(declared, string(request.Header.Method()), reader, connection.confirmEnd)
	return nil
}
