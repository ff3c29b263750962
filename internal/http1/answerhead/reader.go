// Package answerhead reads the heads of back ends' answers. It bounds the informational heads (1xx) that precede the head of an
// answer: a faulty back end may send them without end.
package answerhead

import (
	"bufio"
	"errors"

	"github.com/valyala/fasthttp"
)

// MaxInformational bounds the informational heads before one answer. Each head has at most the size of the source's buffer.
const MaxInformational = 16

// ErrTooManyInformational means that more than MaxInformational informational heads precede an answer.
var ErrTooManyInformational = errors.New("too many informational heads precede the answer")

// Read reads the next head that is not informational.
func Read(head *fasthttp.ResponseHeader, source *bufio.Reader) error {
	for range MaxInformational + 1 {
		if err := head.Read(source); err != nil {
			return err
		}
		if head.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooManyInformational
}
