// Package checkedconn puts the check of answers between a connection and a library that reads them leniently: the library gets only
// answers that keep the rules of HTTP/1.1, and an error for any other.
package checkedconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/takenerror"
	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

// chunkBytes bounds the data that is passed on in one chunk.
const chunkBytes = 4 << 10

// ErrUnexpectedBytes means that the peer has sent something, or has closed the connection, before the request that was to be written.
var ErrUnexpectedBytes = errors.New("bytes that belong to no answer, or the end of the connection, precede the request")

// Connection is a connection of a client of HTTP/1.1. Read returns answers as they were received, except that informational heads are
// left out, and that chunks have other sizes and no extensions. One goroutine at a time reads, and one writes.
type Connection struct {
	net.Conn
	source *bufio.Reader
	// taken keeps the error by which the connection ended, whichever of Read and Write got it.
	taken takenerror.Keeper
	heads answerhead.Reader
	// checked holds bytes that Read has not returned yet.
	checked []byte
	// body is the body of the answer that is being read; nil between answers.
	body *framing.Body
	// mustClose is true if nothing may follow the answer that is being read.
	mustClose bool
	// data and chunk are the memory for the data of a chunk, and for the chunk that it becomes.
	data  [chunkBytes]byte
	chunk []byte
	// err is what Read returns after checked.
	err error

	exchange exchange
}

// exchange is what the reader and the writer of a connection share.
type exchange struct {
	mutex sync.Mutex
	// method is that of the request that was written last.
	method string
	// isAwaited is true from the beginning of a request to the end of its answer.
	isAwaited bool
	// written is what was written of the request.
	written writtenRequest
	// hasSurplus is true if more than the last answer has arrived.
	hasSurplus bool
	answers    int
}

// New returns a Connection on which no request was written yet.
func New(connection net.Conn) *Connection {
	checked := &Connection{Conn: connection}
	checked.source = bufio.NewReader(reader{checked})
	return checked
}

// reader reads the connection itself.
type reader struct{ connection *Connection }

func (r reader) Read(buffer []byte) (int, error) {
	n, err := r.connection.Conn.Read(buffer)
	return n, r.connection.taken.Kept(err)
}

// Write implements net.Conn. A write between two answers begins a request. It fails before the first byte if the connection cannot carry
// another request.
func (c *Connection) Write(data []byte) (n int, err error) {
	if err := c.beginRequest(data); err != nil {
		return 0, err
	}
	err = c.taken.Write(func() (err error) {
		c.recordWritten(data)
		n, err = c.Conn.Write(data)
		return err
	})
	return n, err
}

// recordWritten records a piece of the request, of which the write is in progress.
func (c *Connection) recordWritten(piece []byte) {
	c.exchange.mutex.Lock()
	defer c.exchange.mutex.Unlock()
	c.exchange.written.add(piece)
}

// isRequestWritten reports whether the library has written the whole request, which it does in several calls.
func (c *Connection) isRequestWritten() bool {
	c.exchange.mutex.Lock()
	defer c.exchange.mutex.Unlock()
	return c.exchange.written.isWhole()
}

// beginRequest records the request that the data begins, unless it continues one.
func (c *Connection) beginRequest(data []byte) error {
	c.exchange.mutex.Lock()
	defer c.exchange.mutex.Unlock()
	if c.exchange.isAwaited {
		return nil
	}
	if c.exchange.hasSurplus || c.exchange.answers > 0 && c.hasUnread() {
		return ErrUnexpectedBytes
	}
	method, _, _ := bytes.Cut(data, []byte(" "))
	c.exchange.isAwaited, c.exchange.method = true, string(method)
	c.exchange.written.reset()
	return nil
}

// hasUnread reports whether anything has arrived that nobody has read yet.
func (c *Connection) hasUnread() (isUnread bool) {
	c.taken.During(func() (err error) {
		isUnread, err = wirecheck.HasUnread(c.Conn)
		return err
	})
	return isUnread
}

// endAnswer records that the answer was read to its end.
func (c *Connection) endAnswer() {
	c.body = nil
	if c.mustClose {
		c.err = io.EOF
	}
	c.exchange.mutex.Lock()
	defer c.exchange.mutex.Unlock()
	c.exchange.isAwaited = false
	c.exchange.hasSurplus = c.mustClose || c.source.Buffered() > 0
	c.exchange.answers++
}

// Read implements net.Conn. The error is a grammar.Violation for bytes that break a rule.
func (c *Connection) Read(buffer []byte) (int, error) {
	for len(c.checked) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.body == nil:
			c.err = c.readHead()
		case c.body.Kind() == framing.Chunks:
			c.err = c.readChunk()
		default:
			var n int
			n, c.err = c.readData(buffer)
			if n > 0 {
				return n, nil
			}
		}
	}
	n := copy(buffer, c.checked)
	c.checked = c.checked[n:]
	return n, nil
}

// readHead reads the head of the next answer.
func (c *Connection) readHead() error {
	head, err := c.heads.Next(c.source)
	if err != nil {
		return err
	}
	c.checked, c.mustClose = head.Bytes, head.MustClose
	c.body = framing.NewAnswerBody(head.Body, c.requestMethod(), c.source, c.confirmEnd)
	return c.checkEnd()
}

// confirmEnd returns an error if the connection has ended before the peer had received the whole request.
func (c *Connection) confirmEnd() error { return c.taken.ConfirmEnd(c.Conn, c.isRequestWritten) }

func (c *Connection) requestMethod() string {
	c.exchange.mutex.Lock()
	defer c.exchange.mutex.Unlock()
	if c.exchange.method == "" {
		return http.MethodGet // an answer without a request, which the library refuses
	}
	return c.exchange.method
}

// checkEnd ends the answer if its declared end was read, and returns the error of the connection from then on.
func (c *Connection) checkEnd() error {
	if c.body.End() != framing.Declared {
		return nil
	}
	c.endAnswer()
	return c.err
}

// readData reads from a body without chunks.
func (c *Connection) readData(buffer []byte) (int, error) {
	n, err := c.body.Read(buffer)
	switch {
	case errors.Is(err, framing.ErrUndeclaredEnd):
		return n, io.EOF
	case err != nil && !errors.Is(err, io.EOF):
		return n, err
	default:
		return n, c.checkEnd()
	}
}

// readChunk reads the data of one chunk to pass on, or the end of the body with its trailer.
func (c *Connection) readChunk() error {
	n, err := c.body.Read(c.data[:])
	c.chunk = c.chunk[:0]
	if n > 0 {
		c.chunk = strconv.AppendInt(c.chunk, int64(n), 16)
		c.chunk = append(c.chunk, "\r\n"...)
		c.chunk = append(c.chunk, c.data[:n]...)
		c.chunk = append(c.chunk, "\r\n"...)
	}
	isEnd := errors.Is(err, io.EOF)
	if isEnd {
		c.chunk = append(c.chunk, "0\r\n"...)
		c.chunk = append(c.chunk, c.body.Trailer()...)
		c.chunk = append(c.chunk, "\r\n"...)
	}
	c.checked = c.chunk
	if isEnd {
		return c.checkEnd()
	}
	return err
}
