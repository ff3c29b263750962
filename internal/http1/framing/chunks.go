package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

const (
	// maxChunkLineBytes bounds the line that begins a chunk, and maxTrailerBytes and maxTrailerLines the trailer after the last one.
	maxChunkLineBytes = 4 << 10
	maxTrailerBytes   = 16 << 10
	maxTrailerLines   = 32
	// freeOverheadBytes is what may surround the data of one chunk, and dataPerOverheadByte how much more its data allows. What exceeds
	// both adds up, to maxOverheadBytes for one body: a sender of many tiny chunks with long extensions would otherwise send without end.
	freeOverheadBytes   = 16
	overheadPerDataByte = 2
	maxOverheadBytes    = 16 << 10
)

// RuleChunkEnd: the data of a chunk ends with a line end (RFC 9112, 7.1).
const RuleChunkEnd grammar.Rule = "chunk end"

// RuleChunkOverhead: the lines between the data of chunks have a bound together.
const RuleChunkOverhead grammar.Rule = "chunk overhead"

// chunkReader reads the data of a body in chunks. It returns io.EOF after the trailer.
type chunkReader struct {
	source *bufio.Reader
	// remaining is what is left of the data of the current chunk; mustEnd is true from when there was data until the line end behind it.
	remaining int64
	mustEnd   bool
	// overhead is what exceeds the bytes that may surround the data so far.
	overhead int64
	// trailer holds the lines of the trailer with their ends.
	trailer []byte
	err     error
}

// Read implements io.Reader. It returns what has arrived, and waits only if that is nothing.
func (r *chunkReader) Read(buffer []byte) (read int, err error) {
	for len(buffer) > read && r.err == nil {
		if r.remaining == 0 {
			if read > 0 && !r.hasNextData() {
				break
			}
			r.err = r.beginChunk()
			continue
		}
		if read > 0 && r.source.Buffered() == 0 {
			break
		}
		var n int
		n, r.err = r.readData(buffer[read:])
		read += n
	}
	if read > 0 {
		return read, nil // the error is that of the next call
	}
	return 0, r.err
}

// readData reads data of the current chunk.
func (r *chunkReader) readData(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer[:min(int64(len(buffer)), r.remaining)])
	r.remaining -= int64(n)
	return n, asCut(err)
}

// hasNextData reports whether the line that begins the next chunk has arrived, and is not that of the last one, so that reading up to
// the data does not block.
func (r *chunkReader) hasNextData() bool {
	arrived, _ := r.source.Peek(r.source.Buffered()) // does not fail
	if r.mustEnd {
		arrived = arrived[min(len(lineEnd), len(arrived)):]
	}
	return bytes.IndexByte(arrived, '\n') >= 0 && arrived[0] != '0'
}

var lineEnd = []byte("\r\n")

// beginChunk reads up to the data of the next chunk. It returns io.EOF after the last one.
func (r *chunkReader) beginChunk() error {
	if r.mustEnd {
		if err := r.endChunk(); err != nil {
			return err
		}
	}
	line, err := r.readLine(maxChunkLineBytes, grammar.RuleChunkSize)
	if err != nil {
		return err
	}
	size, err := grammar.ParseChunkLine(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return r.readTrailer()
	}
	r.remaining, r.mustEnd = size, true
	return r.countOverhead(int64(len(line)+2*len(lineEnd)), size)
}

// endChunk reads the line end behind the data of a chunk.
func (r *chunkReader) endChunk() error {
	for count := 1; count <= len(lineEnd); count++ { // so that other bytes are not awaited up to the second one
		end, err := r.source.Peek(count)
		if err != nil {
			return asCut(err)
		}
		if end[count-1] != lineEnd[count-1] {
			return grammar.NewViolation(RuleChunkEnd, "%+q follows the data", end[count-1:])
		}
	}
	_, err := r.source.Discard(len(lineEnd))
	r.mustEnd = false
	return err
}

// countOverhead counts the bytes around the data of one chunk.
func (r *chunkReader) countOverhead(around, data int64) error {
	r.overhead = max(r.overhead+around-freeOverheadBytes-overheadPerDataByte*min(data, maxOverheadBytes), 0)
	if r.overhead > maxOverheadBytes {
		return grammar.NewViolation(RuleChunkOverhead, "more than %d bytes that are no data", maxOverheadBytes)
	}
	return nil
}

// readTrailer reads the trailer up to its empty line, and returns io.EOF then.
func (r *chunkReader) readTrailer() error {
	for range maxTrailerLines {
		line, err := r.readLine(maxTrailerBytes-len(r.trailer), grammar.RuleTrailer)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if err := grammar.CheckTrailerLine(line); err != nil {
			return err
		}
		r.trailer = append(append(r.trailer, line...), lineEnd...)
	}
	return grammar.NewViolation(grammar.RuleTrailer, "more than %d lines", maxTrailerLines)
}

// readLine reads a line of up to the given size, and returns it without its end. It breaks the rule if it is longer, or has another end.
func (r *chunkReader) readLine(limit int, rule grammar.Rule) ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > limit {
		return nil, grammar.NewViolation(rule, "a line has more than %d bytes", min(limit, len(line)))
	}
	if err != nil {
		return nil, asCut(err)
	}
	line, isEnded := bytes.CutSuffix(line, lineEnd)
	if !isEnded {
		return nil, grammar.NewViolation(rule, "a line feed without a carriage return")
	}
	return line, nil
}

// asCut turns the end of the source into io.ErrUnexpectedEOF: the last chunk is missing.
func asCut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
