package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

const (
	// MaxBytes bounds one head.
	MaxBytes = 16 << 10
	// MaxInformational bounds the informational heads before one answer, and MaxInformationalBytes all of them together.
	MaxInformational      = 16
	MaxInformationalBytes = 64 << 10
)

// Rules of heads that are decided here, beside those of the package grammar.
const (
	// RuleLineEnd: each line ends with a carriage return and a line feed (RFC 9112, 2.2).
	RuleLineEnd grammar.Rule = "line end"
	// RuleHeadSize: a head has at most MaxBytes.
	RuleHeadSize grammar.Rule = "head size"
	// RuleInformational: at most MaxInformational heads with MaxInformationalBytes precede an answer.
	RuleInformational grammar.Rule = "informational heads"
	// RuleSwitchedProtocol: nobody switches the protocol unasked (RFC 9110, 15.2.2).
	RuleSwitchedProtocol grammar.Rule = "switched protocol"
)

// head is one head while it is read.
type head struct {
	// raw holds the lines with their ends.
	raw     []byte
	line    grammar.StatusLine
	framing grammar.FramingFields
}

// read reads one head and checks each line as soon as it is there. It returns io.EOF if the source ends before the first byte.
func (h *head) read(source *bufio.Reader) error {
	*h = head{raw: h.raw[:0]}
	if err := expectVersion(source); err != nil {
		return err
	}
	line, err := h.readLine(source)
	if err != nil {
		return err
	}
	if h.line, err = grammar.ParseStatusLine(line); err != nil {
		return err
	}
	for {
		line, err := h.readLine(source)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return h.framing.Check(h.line)
		}
		name, value, err := grammar.ParseFieldLine(line)
		if err != nil {
			return err
		}
		if err := h.framing.Add(name, value); err != nil {
			return err
		}
	}
}

// expectVersion checks the first bytes of an answer as they arrive, so that other bytes are not awaited up to the end of a line.
func expectVersion(source *bufio.Reader) error {
	for count := 1; count <= len(grammar.VersionPrefix); count++ {
		beginning, err := source.Peek(count)
		if err != nil {
			return asCut(err, len(beginning) > 0)
		}
		if beginning[count-1] != grammar.VersionPrefix[count-1] {
			_, err := grammar.ParseStatusLine(beginning)
			return err
		}
	}
	return nil
}

// readLine appends the next line to the head, and returns it without its end.
func (h *head) readLine(source *bufio.Reader) ([]byte, error) {
	start := len(h.raw)
	for {
		part, err := source.ReadSlice('\n')
		h.raw = append(h.raw, part...)
		switch {
		case len(h.raw) > MaxBytes:
			return nil, grammar.NewViolation(RuleHeadSize, "more than %d bytes", MaxBytes)
		case err == nil:
			line, isEnded := bytes.CutSuffix(h.raw[start:], []byte("\r\n"))
			if !isEnded {
				return nil, grammar.NewViolation(RuleLineEnd, "a line feed without a carriage return")
			}
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, asCut(err, true)
		}
	}
}

// asCut turns the end of the source into io.ErrUnexpectedEOF if a part of the head was read.
func asCut(err error, hasBegun bool) error {
	if hasBegun && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// declaration returns how the body of the answer ends, unless the request's method says that it has none.
func (h *head) declaration() framing.Declaration {
	switch {
	case h.line.Status == fasthttp.StatusNoContent || h.line.Status == fasthttp.StatusNotModified:
		return framing.Declaration{Kind: framing.None}
	case h.framing.IsChunked:
		return framing.Declaration{Kind: framing.Chunks}
	case h.framing.HasLength:
		return framing.Declaration{Kind: framing.Length, Length: h.framing.Length}
	default:
		return framing.Declaration{Kind: framing.Close, MustConfirm: h.line.Status < fasthttp.StatusBadRequest}
	}
}

// isAmbiguous reports whether the sender may mean another end of the body than the one that the rules give: both a length and chunks,
// or a body where there is none. What follows the answer on its connection may then belong to it.
func (h *head) isAmbiguous() bool {
	isBothFramed := h.framing.IsChunked && h.framing.HasLength
	hasUnexpectedBody := h.line.Status == fasthttp.StatusNoContent && (h.framing.IsChunked || h.framing.Length > 0)
	return isBothFramed || hasUnexpectedBody
}
