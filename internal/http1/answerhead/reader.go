// Package answerhead reads the heads of answers, and decides what is an answer: each byte is checked by the rules of HTTP/1.1 before
// anything of the head is used. All readers of answers use it, directly or through the package checkedconn.
package answerhead

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// RuleLibrary: the library that holds the fields refuses one, such as a trailer that may not be one.
const RuleLibrary grammar.Rule = "fields"

// Reader reads heads into memory that it uses again for the next one. It is not safe for concurrent use.
type Reader struct{ head head }

// Next reads the next head that is not informational. Its bytes are valid until the next call. The error is a grammar.Violation for a
// head that breaks a rule, and io.EOF if the source ends before the first byte.
func (r *Reader) Next(source *bufio.Reader) (Head, error) {
	informationalBytes := 0
	for range MaxInformational + 1 {
		if err := r.head.read(source); err != nil {
			return Head{}, err
		}
		switch status := r.head.line.Status; {
		case status >= fasthttp.StatusOK:
			return Head{
				Bytes: r.head.raw, Status: status, Body: r.head.declaration(), MustClose: r.head.isAmbiguous(),
			}, nil
		case status == fasthttp.StatusSwitchingProtocols:
			return Head{}, grammar.NewViolation(RuleSwitchedProtocol, "nobody has asked for another protocol")
		}
		if informationalBytes += len(r.head.raw); informationalBytes > MaxInformationalBytes {
			break
		}
	}
	return Head{}, grammar.NewViolation(RuleInformational, "more than %d heads or %d bytes", MaxInformational, MaxInformationalBytes)
}

// Head is the head of an answer that keeps all rules.
type Head struct {
	// Bytes is the head as it was received, up to its empty line.
	Bytes []byte
	// Status is the status code.
	Status int
	// Body says where the body ends, unless the request's method says that there is none.
	Body framing.Declaration
	// MustClose is true if the connection must not carry another request.
	MustClose bool
}

// parser holds what Read needs for one head.
type parser struct {
	reader Reader
	bytes  bytes.Reader
	source *bufio.Reader
}

var parsers = sync.Pool{New: func() any { return &parser{source: bufio.NewReaderSize(nil, MaxBytes)} }}

// Read reads the next head that is not informational into the header. It returns where the body ends. The errors are those of
// Reader.Next. The header says that the connection is to be closed if it must not carry another request.
func Read(header *fasthttp.ResponseHeader, source *bufio.Reader) (framing.Declaration, error) {
	parser := parsers.Get().(*parser)
	defer parsers.Put(parser)
	head, err := parser.reader.Next(source)
	if err != nil {
		return framing.Declaration{}, err
	}
	if err := parser.parse(header, head); err != nil {
		return framing.Declaration{}, err
	}
	return head.Body, nil
}

// parse fills the header from a head that keeps all rules.
func (p *parser) parse(header *fasthttp.ResponseHeader, head Head) error {
	p.bytes.Reset(head.Bytes)
	p.source.Reset(&p.bytes)
	if err := header.Read(p.source); err != nil {
		return grammar.NewViolation(RuleLibrary, "one is not supported") // the library's text may quote the whole head
	}
	if head.MustClose {
		header.SetConnectionClose()
	}
	return nil
}
