package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// releaseTimeout bounds the giving up of a prompt; it lapses by itself later.
const releaseTimeout = time.Second

// release tells an engine that a prompt it holds will not be taken. Its answer only shows
// whether the connection can be used again.
func (e *exchanger) release(held *heldPrompt, path string) {
	now := e.clock.now()
	connection := held.engine.pool.take(now, unsafeIdleLimit)
	if connection == nil {
		var err error
		if connection, err = e.open(held.engine, releaseTimeout); err != nil {
			return
		}
	}
	defer connection.close()
	_ = connection.SetDeadline(e.clock.at(now + releaseTimeout))
	head := append([]byte(nil), "DELETE "+path+" HTTP/1.1\r\nHost: "+held.engine.Address+"\r\n"...)
	head = appendHeader(head, e.names.ExpectInstance, held.engine.ID)
	if _, err := connection.Write(append(head, "\r\n"...)); err != nil {
		return
	}
	if (&fasthttp.ResponseHeader{}).Read(connection.reader) == nil {
		e.noteKept(held.engine, held.parts)
	}
}
