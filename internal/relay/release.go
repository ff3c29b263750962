package relay

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
)

// releaseTimeout bounds the giving up of a prompt; it lapses by itself later.
const releaseTimeout = time.Second

// release tells an engine that a prompt it holds will not be taken. Once it has answered, it keeps
// the prompt's parts for any request.
func (e *exchanger) release(held *heldPrompt, path string) {
	now := e.clock.now()
	if held.engine.resting(now) || !e.permitted(held.engine, ownCallRank, false) {
		return // the prompt lapses by itself
	}
	connection := held.engine.pool.Get(now, unsafeIdleLimit)
	if connection == nil {
		var err error
		if connection, err = e.open(held.engine, releaseTimeout); err != nil {
			return
		}
	}
	defer connection.Discard()
	_ = connection.SetDeadline(e.clock.at(now + releaseTimeout))
	if e.writeCall(connection, held.engine, fasthttp.MethodDelete, path, nil) != nil {
		return
	}
	head := &fasthttp.ResponseHeader{}
	if head.Read(connection.Reader) != nil || head.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	e.noteAnswer(held.engine, head, noRequest)
	if head.StatusCode() == fasthttp.StatusOK {
		e.noteKept(held.engine, held.parts)
	}
}

// writeCall writes a call of the relay's own to an engine, which refuses it when another one has
// its address. A body is JSON; nil is none.
func (e *exchanger) writeCall(connection *connpool.Connection, engine *backEnd, method, path string, body []byte) error {
	head := append([]byte(nil), method+" "+path+" HTTP/1.1\r\nHost: "+engine.Address+"\r\n"...)
	head = appendHeader(head, e.names.ExpectInstance, engine.ExpectedID())
	if body != nil {
		head = appendHeader(head, fasthttp.HeaderContentType, "application/json")
		head = appendHeader(head, fasthttp.HeaderContentLength, strconv.Itoa(len(body)))
	}
	head = append(head, "\r\n"...)
	_, err := connection.Write(append(head, body...))
	return err
}
