package gateway

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// singleHeaders may appear once: two values would let two readers differ.
var singleHeaders = []string{
	"Content-Length", "Transfer-Encoding", "Content-Type", "Host",
	"Authorization", HeaderKind, enginecontract.HeaderIdempotencyKey,
}

// checkHeaders refuses headers that readers may understand differently.
func checkHeaders(header *fasthttp.RequestHeader) *refusal {
	for _, name := range singleHeaders {
		if len(header.PeekAll(name)) > 1 {
			return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidHeader, "the header "+name+" appears twice")
		}
	}
	if len(header.Peek("Transfer-Encoding")) > 0 && len(header.Peek("Content-Length")) > 0 {
		return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidHeader, "both length and transfer encoding are given")
	}
	key := string(header.Peek(enginecontract.HeaderIdempotencyKey))
	if len(key) > maximumIdempotencyKey || strings.ContainsFunc(key, notPrintable) {
		return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidHeader, "the idempotency key must be short and printable")
	}
	return nil
}

// maximumIdempotencyKey bounds a key's length in bytes.
const maximumIdempotencyKey = 128

func notPrintable(character rune) bool { return character < ' ' || character > '~' }
