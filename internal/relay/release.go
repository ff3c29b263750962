package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
)

// releaseTimeout bounds the call that releases a prefill. A prefill that is not released expires by itself.
const releaseTimeout = time.Second

// release notifies an engine that a prefill will not be fetched. Once the engine has confirmed, the prompt's blocks are
// recorded as cached for any request.
func (e *exchanger) release(prefill *remotePrefill, path string) {
	now := e.clock.now()
	if prefill.engine.inBackoff(now) || !e.acquirePermit(prefill.engine, internalCallRank, false) {
		return // the prefill expires without a release
	}
	connection := prefill.engine.pool.Get(now, unsafeIdleLimit)
	if connection == nil {
		var err error
		if connection, err = e.open(prefill.engine, releaseTimeout); err != nil {
			return
		}
	}
	defer connection.Discard()
	_ = connection.SetDeadline(e.clock.at(now + releaseTimeout))
	if e.writeInternalCall(connection, prefill.engine, fasthttp.MethodDelete, path, nil) != nil {
		return
	}
	head := &fasthttp.ResponseHeader{}
	if _, err := answerhead.Read(head, connection.Reader); err != nil || head.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	e.applyAnswerSignals(prefill.engine, head, internalCallSentAt)
	if head.StatusCode() == fasthttp.StatusOK {
		e.recordCached(prefill.engine, prefill.prefixBlocks)
	}
}
