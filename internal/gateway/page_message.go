package gateway

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// passedRequestHeaders are the only headers passed from the caller to a page service.
var passedRequestHeaders = []string{
	"Content-Type", "Accept", "Accept-Language", enginecontract.HeaderIdempotencyKey,
}

// passedResponseHeaders are the only headers passed from a page service to the caller.
var passedResponseHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location",
}

// pageTarget returns the path and query as the caller sent them.
func pageTarget(context *fasthttp.RequestCtx) string {
	target := string(context.URI().PathOriginal())
	if query := context.URI().QueryString(); len(query) > 0 {
		target += "?" + string(query)
	}
	return target
}

func passedHeaders(header *fasthttp.RequestHeader) []upstream.Header {
	var passed []upstream.Header
	for _, name := range passedRequestHeaders {
		if value := header.Peek(name); len(value) > 0 {
			passed = append(passed, upstream.Header{Name: name, Value: string(value)})
		}
	}
	return passed
}

// checkPath refuses paths that a page service might interpret differently from the gateway.
func checkPath(path string) *refusal {
	lower := strings.ToLower(path)
	for _, ambiguous := range []string{"//", "/./", "/../", "\\", "%2f", "%5c", "%2e", "%00", "%0d", "%0a"} {
		if strings.Contains(lower+"/", ambiguous) {
			return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidPath, "the path is ambiguous")
		}
	}
	if !strings.HasPrefix(path, "/") {
		return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidPath, "the path must begin with a slash")
	}
	return nil
}
