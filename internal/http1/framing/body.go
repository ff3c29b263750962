package framing

import (
	"bufio"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrUndeclaredEnd means that the sender has closed the connection without having declared the end of the body. The
// body may be complete or not.
var ErrUndeclaredEnd = errors.New("the connection was closed; nothing says whether the answer is whole")

// Body reads a body up to its end. It returns io.EOF at an end that the sender has declared, and only there. At the close of a
// connection that ends a body without a declared end it returns ErrUndeclaredEnd, and another error if the body breaks off.
type Body struct {
	kind   Kind
	end    End
	source *bufio.Reader
	chunks *chunkReader
	// length is the declared length, and remaining the number of bytes up to it.
	length, remaining int
}

// NewAnswerBody returns the body that follows the head of an answer; method is that of the request.
func NewAnswerBody(declared Declaration, method string, source *bufio.Reader) *Body {
	if method == fasthttp.MethodHead {
		declared = Declaration{Kind: None}
	}
	switch declared.Kind {
	case None:
		return &Body{kind: None, end: Declared, source: source}
	case Length:
		body := &Body{kind: Length, length: declared.Length, remaining: declared.Length, source: source}
		if declared.Length == 0 {
			body.end = Declared
		}
		return body
	case Chunks:
		return NewChunkedBody(source)
	default:
		return &Body{kind: Close, source: source}
	}
}

// NewChunkedBody returns a body of chunks.
func NewChunkedBody(source *bufio.Reader) *Body {
	return &Body{kind: Chunks, source: source, chunks: &chunkReader{source: source}}
}

// Kind returns how the end of the body is determined.
func (b *Body) Kind() Kind { return b.kind }

// Length returns the declared length in bytes; 0 for other kinds than Length.
func (b *Body) Length() int { return b.length }

// Trailer returns the lines of fields that have followed the last chunk, with their ends.
func (b *Body) Trailer() []byte {
	if b.chunks == nil {
		return nil
	}
	return b.chunks.trailer
}

// End returns what is known of the body's end so far.
func (b *Body) End() End { return b.end }

// RemainderFitsInto reports whether the rest of a body, if it is known, has at most the given size in bytes.
func (b *Body) RemainderFitsInto(size int) bool {
	return (b.kind == Length || b.kind == None) && b.remaining <= size
}

// Read implements io.Reader.
func (b *Body) Read(buffer []byte) (int, error) {
	switch b.end {
	case Declared:
		return 0, io.EOF
	case Undeclared:
		return 0, ErrUndeclaredEnd
	default:
	}
	n, err := b.read(buffer)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		b.end = Broken
	case b.kind == Close:
		b.end = Undeclared
		return n, ErrUndeclaredEnd
	default:
		b.end = Declared
	}
	return n, err
}

// MarkBroken records that the body is incomplete although it was read up to its end: its content says so.
func (b *Body) MarkBroken() { b.end = Broken }

func (b *Body) read(buffer []byte) (int, error) {
	switch b.kind {
	case Length:
		return b.readLength(buffer)
	case Chunks:
		return b.chunks.Read(buffer)
	default:
		return b.source.Read(buffer)
	}
}

func (b *Body) readLength(buffer []byte) (int, error) {
	n, err := b.source.Read(buffer[:min(len(buffer), b.remaining)])
	b.remaining -= n
	if b.remaining == 0 {
		b.end = Declared
		return n, nil
	}
	return n, asCut(err)
}
