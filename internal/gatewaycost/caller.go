package gatewaycost

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	headerKind = "X-Request-Kind"
	// callTimeout bounds one request.
	callTimeout = time.Minute
	streamBytes = 16 << 10
	// exchange stands in for a gateway's on direct requests to page services.
	exchange = "0123456789abcdef0123456789abcdef"
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// caller sends requests. It is safe for concurrent use.
type caller struct {
	key  string
	http *fasthttp.Client
}

func newCaller(key, source string) *caller {
	dialer := &fasthttp.TCPDialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &caller{key: key, http: &fasthttp.Client{
		Dial: dialer.Dial, StreamResponseBody: true, MaxConnsPerHost: 1 << 12, MaxIdemponentCallAttempts: 1,
	}}
}

// page sends one plain request and returns how long its answer took.
func (c *caller) page(address, path string) (time.Duration, error) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + address + path)
	call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	call.Header.Set(enginecontract.HeaderExchange, exchange)
	call.SetTimeout(callTimeout)
	began := time.Now()
	if err := c.http.Do(call, answer); err != nil {
		return 0, trace.Wrap(err)
	}
	body, err := answer.BodyUncompressed()
	took := time.Since(began)
	if err != nil || answer.StatusCode() != http.StatusOK {
		return 0, trace.Errorf("%s%s answered %d: %s", address, path, answer.StatusCode(), body)
	}
	return took, nil
}

// streamed is how one stream came.
type streamed struct {
	tokens int
	// longestGap is the longest time between two tokens.
	longestGap time.Duration
}

// stream sends one chat request and reads its answer to the end.
func (c *caller) stream(address, kind, body string) (streamed, error) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + address + enginecontract.PathChat)
	call.Header.SetMethod(http.MethodPost)
	call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	call.Header.Set(headerKind, kind)
	call.SetBodyString(body)
	call.SetTimeout(callTimeout)
	if err := c.http.Do(call, answer); err != nil {
		return streamed{}, trace.Wrap(err)
	}
	defer func() { _ = answer.CloseBodyStream() }() // what was read counts
	if answer.StatusCode() != http.StatusOK {
		body, _ := io.ReadAll(answer.BodyStream()) // the status tells enough
		return streamed{}, trace.Errorf("answered %d: %s", answer.StatusCode(), body)
	}
	return read(bufio.NewReaderSize(answer.BodyStream(), streamBytes))
}

// read counts the token events of a whole stream.
func read(events *bufio.Reader) (streamed, error) {
	var seen streamed
	var last time.Time
	for {
		line, err := events.ReadSlice('\n')
		if err != nil {
			return seen, trace.Wrap(err, "after %d tokens", seen.tokens)
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		switch {
		case !found:
		case bytes.Equal(data, doneMarker):
			return seen, nil
		case bytes.Contains(data, []byte(`"error"`)):
			return seen, trace.Errorf("stream ended: %s", data)
		case bytes.Contains(data, []byte(`"content"`)):
			now := time.Now()
			if seen.tokens > 0 {
				seen.longestGap = max(seen.longestGap, now.Sub(last))
			}
			seen.tokens++
			last = now
		}
	}
}

// chatBody is a request for tokens of output; number makes its prompt its own.
func chatBody(model string, tokens, number int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, model, tokens, number)
}
