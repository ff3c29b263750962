package relay

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/clientwait"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
)

// answer is a back end's answer of which the head was read; the body is still unread on the connection.
type answer struct {
	status     int
	head       *fasthttp.ResponseHeader
	body       *framing.Body
	connection *connpool.Connection
	message    *message
	exchanger  *exchanger
	// writeDone receives the result of the write of a long request body that may be in progress: a back end may send the head
	// of its answer before it has read the body. It is nil if no such write is left.
	writeDone <-chan error
	// bodyUnread is true if the request body was not sent completely.
	bodyUnread bool
	// fault is why the body is unusable; nil while nothing says so.
	fault *failure
	// clientWait measures how long the client kept the answer waiting that is forwarded piece by piece.
	clientWait clientwait.Meter
	// memory is the part of the relay's memory for answers that this one takes.
	memory *bodybudget.Reservation
	closed bool
}

// recordPrefillDone removes the request's prefill from this relay's work at the back end, once the prefill is complete.
func (a *answer) recordPrefillDone() {
	if a.message.work.PromptTokens() == 0 {
		return
	}
	a.message.backEnd.removeWork(placement.Work{Tokens: a.message.work.Tokens})
	a.message.work.Tokens = [placement.RankCount]int{}
	a.exchanger.announceWork(a.message)
}

// Read implements io.Reader for the body. It returns io.EOF only at the body's declared end, and framing.ErrUndeclaredEnd at an
// end that the back end has not declared.
func (a *answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if n > 0 {
		a.message.backEnd.recordReceived(a.exchanger.clock.now())
	}
	if err == nil || framing.IsEnd(err) {
		return n, err
	}
	fault := a.exchanger.connectionFailure(a.connection, a.message, true, err)
	fault.observation = a.exchanger.observe(a.message)
	return n, a.recordFault(fault)
}

// recordFault records why the body is unusable, and returns it.
func (a *answer) recordFault(fault *failure) *failure {
	a.fault = fault
	return fault
}

// readAll reads the body up to its end, declared or not, or up to the limit in bytes. It returns an error if the body breaks off.
func (a *answer) readAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit))
	if errors.Is(err, framing.ErrUndeclaredEnd) {
		err = nil
	}
	return body, err
}

// copiesOfAnswer is how often a buffered answer is in memory while it is sent: as it was read, and in the message to the client.
const copiesOfAnswer = 2

// readBeginning reads the body up to its end, declared or not, or up to the limit in bytes, or as far as the memory for answers allows.
// isWhole is true if it was read up to its end. It returns an error if the body breaks off.
func (a *answer) readBeginning(limit int) (body []byte, isWhole bool, err error) {
	return a.memory.ReadAvailable(bodyReader{a}, limit, copiesOfAnswer)
}

// bodyReader reads the body of an answer, and returns io.EOF at its end, declared or not.
type bodyReader struct{ answer *answer }

// Read implements io.Reader.
func (r bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.answer.Read(buffer)
	if framing.IsEnd(err) {
		err = io.EOF
	}
	return n, err
}

// takeMemory returns the reservation of the answer, which the caller must release: the body outlives the exchange.
func (a *answer) takeMemory() *bodybudget.Reservation {
	taken := a.memory
	a.memory = a.exchanger.answerMemory.NewReservation()
	return taken
}

// finish ends an exchange whose answer was used. The connection can be reused only if the complete body was read and no
// bytes followed the body.
func (a *answer) finish() {
	if a.closed {
		return
	}
	a.exchanger.recordEndOfAnswer(a)
	a.finishUnused()
}

// finishUnused ends an exchange whose answer was read, and that the client does not get.
func (a *answer) finishUnused() {
	if a.closed {
		return
	}
	a.message.backEnd.removeWork(a.message.work)
	a.exchanger.announceWork(a.message)
	if a.hasEnded() {
		a.message.backEnd.recordSuccess()
		a.reportRun()
	}
	a.release()
}

// reportRun reports to the crash guard that the back end has run the request without a crash. If the end of the answer was not
// declared, the guard finds out whether the back end has crashed.
func (a *answer) reportRun() {
	backEnd, content := a.message.backEnd, a.message.request.content
	if a.status >= fasthttp.StatusMultipleChoices {
		content.Parts = nil // the back end may have rejected the request before it read the prompt
	}
	switch {
	case a.message.isPrefill || backEnd.isRelay:
	case a.body.End() == framing.Declared:
		a.exchanger.guard.RecordSuccess(content)
	case !backEnd.isLeaving():
		go a.exchanger.guard.RecordUndeclaredEnd(content, replicaOf(backEnd))
	}
}

// abandon ends an exchange whose answer is not read to its end.
func (a *answer) abandon() {
	if a.closed {
		return
	}
	a.message.backEnd.removeWork(a.message.work)
	a.exchanger.announceWork(a.message)
	a.exchanger.recordAbandonedPrefill(a.message)
	a.release()
}

// discard ends an exchange whose answer is not used. It reads a short body, so that the connection can be reused.
func (a *answer) discard() {
	if a.body.RemainderFitsInto(connpool.ReadBufferBytes) {
		discardBody(a.body)
	}
	a.release()
}

// release returns the connection to the pool, or closes it when it cannot be reused.
func (a *answer) release() {
	if a.closed {
		return
	}
	a.closed = true
	a.memory.Release()
	a.exchanger.updateHealthAfterBody(a)
	a.message.canceller().detach()
	a.stopWriting()
	if !a.isReusable() {
		a.connection.Discard()
		return
	}
	a.connection.AnsweredRequests++
	if limit := keepAliveTimeout(a.head); limit > 0 {
		a.connection.IdleLimit = limit
	}
	_ = a.connection.SetDeadline(time.Time{}) // on a closed connection, the next request will fail
	a.message.backEnd.pool.Put(a.connection, a.exchanger.clock.now())
}

// stopWriting ends the write of a long request body.
func (a *answer) stopWriting() {
	if a.writeDone == nil {
		return
	}
	select {
	case err := <-a.writeDone:
		a.bodyUnread = err != nil
	default:
		_ = a.connection.SetWriteDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
		a.bodyUnread = <-a.writeDone != nil
	}
	a.writeDone = nil
}

func (a *answer) isReusable() bool {
	return a.body.End() == framing.Declared && !a.bodyUnread && !a.head.ConnectionClose() &&
		a.connection.Reader.Buffered() == 0 && !a.message.canceller().isCancelled()
}

// keepAliveMargin is subtracted from the back end's keep-alive timeout, so that the relay stops using a connection before
// the back end closes it.
const keepAliveMargin = 300 * time.Millisecond

// keepAliveTimeout returns how long the back end keeps an idle connection open; 0 when it does not say.
func keepAliveTimeout(head *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(head.Peek("Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if count, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(count)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}

// hasEnded reports whether the body was read up to its end, declared or not.
func (a *answer) hasEnded() bool {
	return a.body.End() == framing.Declared || a.body.End() == framing.Undeclared
}

// isLong reports whether the answer declares a body that is too long to be buffered.
func (a *answer) isLong() bool { return a.body.Length() > maxBufferedAnswer }

// hasNoBody reports whether an answer has no body because of its status or the request's method.
func (a *answer) hasNoBody() bool { return a.body.Kind() == framing.None }
