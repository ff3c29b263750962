package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// connectionHeaders are hop-by-hop headers, which are never forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// header is a header that the relay itself sets.
type header struct{ name, value string }

// requestWriter builds the heads of requests to back ends.
type requestWriter struct {
	// keyHeader is the name of the header with clients' keys. It is not forwarded when clients are identified by keys.
	keyHeader string
	// relayHeaders are the headers that only relays may set; they are removed from clients' requests.
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

// head returns the head of a request to a back end: the client's request line and headers, the body's length, and the given
// headers, which replace the client's.
func (w requestWriter) head(request *request, address string, headers []header) []byte {
	request.headerMutex.Lock()
	defer request.headerMutex.Unlock()
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

// connectionNames returns the names that a Connection header lists, in canonical form.
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

// canonical returns a header's name in the form in which fasthttp writes it.
func canonical(name string) string {
	normalized := fasthttp.AppendNormalizedHeaderKey(nil, name)
	return string(normalized)
}

// milliseconds formats a duration for a header, as at least 1 ms.
func milliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(duration.Milliseconds(), 1), 10)
}
