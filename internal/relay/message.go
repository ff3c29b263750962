package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// connectionHeaders concern one connection only and are never passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// header is one header that a relay sets itself.
type header struct{ name, value string }

// requestWriter builds the messages that go to back ends.
type requestWriter struct {
	// keyHeader holds clients' keys, which no back end gets to see where callers are known by them.
	keyHeader string
	// relayHeaders are the headers that only relays set; those of clients are dropped.
	relayHeaders map[string]bool
}

func newRequestWriter(names HeaderNames) requestWriter {
	relayHeaders := map[string]bool{
		names.Tenant:     true,
		names.DeadlineMs: true, names.ExpectInstance: true, names.Priority: true,
		names.Stage: true, names.KVSource: true, names.KVFetch: true,
	}
	for _, name := range names.EngineOnly {
		relayHeaders[name] = true
	}
	return requestWriter{relayHeaders: relayHeaders, keyHeader: names.Authorization}
}

// head returns the head of the message for a back end: the client's line and headers, the
// body's length, and the headers given, which take the place of the client's.
func (w requestWriter) head(request *request, address string, headers []header) []byte {
	head := make([]byte, 0, 1024)
	head = append(head, request.method...)
	head = append(head, ' ')
	head = append(head, request.target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.host...)
	head = append(head, "\r\n"...)
	connectionHeaderNames := connectionNames(request.header.Peek("Connection"))
	for key, value := range request.header.All() {
		name := string(key)
		if name == "Host" || connectionHeaders[name] || w.relayHeaders[name] || connectionHeaderNames[name] || containsHeader(headers, name) {
			continue
		}
		if request.usesKeys && name == w.keyHeader {
			continue
		}
		head = appendHeader(head, name, string(value))
	}
	for _, header := range headers {
		head = appendHeader(head, header.name, header.value)
	}
	if len(request.body) > 0 || request.method != fasthttp.MethodGet && request.method != fasthttp.MethodHead {
		head = appendHeader(head, "Content-Length", strconv.Itoa(len(request.body)))
	}
	return append(head, "\r\n"...)
}

func containsHeader(headers []header, name string) bool {
	for _, header := range headers {
		if header.name == name {
			return true
		}
	}
	return false
}

func appendHeader(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// connectionNames lists the headers that a Connection header names, in canonical form.
func connectionNames(value []byte) map[string]bool {
	if len(value) == 0 || len(value) == len("close") || len(value) == len("keep-alive") {
		return nil
	}
	names := map[string]bool{}
	for name := range strings.SplitSeq(string(value), ",") {
		names[canonical(strings.TrimSpace(name))] = true
	}
	return names
}

// canonical returns a header's name as fasthttp writes it.
func canonical(name string) string {
	normalized := fasthttp.AppendNormalizedHeaderKey(nil, name)
	return string(normalized)
}

// milliseconds writes a duration for a header; at least 1.
func milliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(duration.Milliseconds(), 1), 10)
}
