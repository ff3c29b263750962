package relay

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
)

// writeInternalCall writes an internal call of the relay to an engine. If the call reaches another back end at the engine's
// address, that back end refuses it. The body is JSON; nil means no body.
func (e *exchanger) writeInternalCall(connection *connpool.Connection, engine *backEnd, method, path string, body []byte) error {
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

// internalAnswer is the answer to an internal call of the relay.
type internalAnswer struct {
	head *fasthttp.ResponseHeader
	body []byte
}

// readInternalAnswer reads the answer to an internal call, whose body may have up to the given number of bytes. The body is a document
// that has an end of its own, so its end need not be declared.
func readInternalAnswer(connection *connpool.Connection, method string, maxBytes int) (internalAnswer, error) {
	answer := internalAnswer{head: &fasthttp.ResponseHeader{}}
	declared, err := answerhead.Read(answer.head, connection.Reader)
	if err != nil {
		return internalAnswer{}, err
	}
	body := framing.NewAnswerBody(declared, method, connection.Reader, connection.ConfirmEnd)
	answer.body, err = io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	switch {
	case err != nil && !errors.Is(err, framing.ErrUndeclaredEnd):
		return internalAnswer{}, err
	case len(answer.body) > maxBytes:
		return internalAnswer{}, fmt.Errorf("%w: it has more than %d bytes", errUnsupportedAnswer, maxBytes)
	default:
		return answer, nil
	}
}
