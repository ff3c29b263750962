package framing

import (
	"bufio"
	"errors"
	"fmt"
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
	// confirmEnd returns an error if the end of the connection is not that of an answer; nil if that need not be asked.
	confirmEnd func() error
	chunks     *chunkReader
	// length is the declared length, and remaining the number of bytes up to it.
	length, remaining int
}

// NewAnswerBody returns the body that follows the head of an answer; method is that of the request. confirmEnd returns an error if the
// connection has ended before the sender of the answer had received the whole request; nil if nobody can tell.
func NewAnswerBody(declared Declaration, method string, source *bufio.Reader, confirmEnd func() error) *Body {
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
		if !declared.MustConfirm {
			confirmEnd = nil
		}
		return &Body{kind: Close, source: source, confirmEnd: confirmEnd}
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
		err = b.endUndeclared()
	default:
		b.end = Declared
	}
	return n, err
}

// endUndeclared ends a body at the end of its connection, and returns the error of the read.
func (b *Body) endUndeclared() error {
	b.end = Undeclared
	if b.confirmEnd == nil {
		return ErrUndeclaredEnd
	}
	if err := b.confirmEnd(); err != nil {
		b.end = Broken
		return fmt.Errorf("the connection of an answer without a declared end: %w", err)
	}
	return ErrUndeclaredEnd
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
