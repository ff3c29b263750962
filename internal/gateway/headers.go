package gateway

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// singleHeaders may appear only once: with two values, two parsers could choose different ones.
var singleHeaders = []string{
	"Content-Length", "Transfer-Encoding", "Content-Type", "Host",
	"Authorization", HeaderKind, enginecontract.HeaderIdempotencyKey,
}

// checkHeaders refuses headers that parsers may interpret differently.
func checkHeaders(header *fasthttp.RequestHeader) *refusal {
	if fault := checkHeaderLines(header.RawHeaders()); fault != nil {
		return fault
	}
	for _, name := range singleHeaders {
		if len(header.PeekAll(name)) > 1 {
			return refuseHeader("the header " + name + " appears twice")
		}
	}
	key := string(header.Peek(enginecontract.HeaderIdempotencyKey))
	if len(key) > maximumIdempotencyKey || strings.ContainsFunc(key, notPrintable) {
		return refuseHeader("the idempotency key must be short and printable")
	}
	return nil
}

// checkHeaderLines refuses what the server parses leniently and another parser might not:
// folded lines, names that are not tokens, and two declarations of the body's length.
func checkHeaderLines(raw []byte) *refusal {
	var lengths, encodings int
	for line := range bytes.Lines(raw) {
		name, _, hasColon := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case len(name) == 0 && !hasColon:
			continue // the empty line that ends the headers
		case !hasColon || !grammar.IsToken(name):
			return refuseHeader("a header's name is malformed or its line is folded")
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return refuseHeader("the body's length is given twice")
	}
	return nil
}

func refuseHeader(message string) *refusal {
	return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidHeader, message)
}

// idempotencyKey returns the caller's idempotency key; it is empty when there is none.
func idempotencyKey(context *fasthttp.RequestCtx) string {
	return string(context.Request.Header.Peek(enginecontract.HeaderIdempotencyKey))
}

// maximumIdempotencyKey bounds the length of an idempotency key in bytes.
const maximumIdempotencyKey = 128

func notPrintable(character rune) bool { return character < ' ' || character > '~' }
