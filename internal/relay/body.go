package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// framing says how the end of a body is determined.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	// framedByClose bodies end when the connection is closed; after a reset they are incomplete.
	framedByClose
)

// maxTrailerLines bounds the trailer lines after the last chunk.
const maxTrailerLines = 32

// framedBody reads a body up to its declared end and returns io.EOF there; it returns another error if the body ends earlier.
type framedBody struct {
	framing    framing
	source     *bufio.Reader
	reader     io.Reader
	remaining  int
	isComplete bool
}

// newFramedBody returns the body that follows the head of an answer; method is that of the request.
func newFramedBody(head *fasthttp.ResponseHeader, method string, source *bufio.Reader) *framedBody {
	status, length := head.StatusCode(), head.ContentLength()
	body := &framedBody{source: source}
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		body.isComplete = true
	case length >= 0:
		body.remaining = length
		body.isComplete = length == 0
	case length == -1:
		body.framing = framedByChunks
		body.reader = httputil.NewChunkedReader(source)
	default:
		body.framing = framedByClose
	}
	return body
}

// Read implements io.Reader.
func (b *framedBody) Read(buffer []byte) (int, error) {
	if b.isComplete {
		return 0, io.EOF
	}
	switch b.framing {
	case framedByLength:
		return b.readLength(buffer)
	case framedByChunks:
		return b.readChunks(buffer)
	default:
		n, err := b.source.Read(buffer)
		b.isComplete = errors.Is(err, io.EOF)
		return n, err
	}
}

func (b *framedBody) readLength(buffer []byte) (int, error) {
	n, err := b.source.Read(buffer[:min(len(buffer), b.remaining)])
	b.remaining -= n
	if b.remaining == 0 {
		b.isComplete = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *framedBody) readChunks(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.readTrailer(); err != nil {
		return n, err
	}
	b.isComplete = true
	return n, io.EOF
}

// readTrailer reads the trailer after the last chunk, up to the empty line.
func (b *framedBody) readTrailer() error {
	for range maxTrailerLines {
		line, err := b.source.ReadSlice('\n')
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errMalformedAnswer
}
