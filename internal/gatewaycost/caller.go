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
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/lines"
)

const (
	headerKind = "X-Request-Kind"
	// callTimeout limits one request.
	callTimeout = time.Minute
	streamBytes = 16 << 10
	// longestLine bounds a line of a stream, in bytes.
	longestLine = 1 << 20
	// directExchange is the exchange ID of direct requests to page services, in place of a gateway's.
	directExchange = "0123456789abcdef0123456789abcdef"
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
		Dial: checkedconn.FastDial(dialer.Dial), ReadBufferSize: answerhead.MaxBytes, StreamResponseBody: true, MaxConnsPerHost: 1 << 12, MaxIdemponentCallAttempts: 1,
	}}
}

// sendPage sends one page request and returns how long its answer took.
func (c *caller) sendPage(address, path string) (time.Duration, error) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + address + path)
	call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	call.Header.Set(enginecontract.HeaderExchange, directExchange)
	call.SetTimeout(callTimeout)
	began := time.Now()
	if err := c.http.Do(call, answer); err != nil {
		return 0, trace.Wrap(err)
	}
	body, err := answer.BodyUncompressed()
	took := time.Since(began)
	if err != nil || answer.StatusCode() != http.StatusOK {
		return 0, trace.Errorf("%s%s answered with status %d: %s", address, path, answer.StatusCode(), body)
	}
	return took, nil
}

// streamStats are the figures of one stream.
type streamStats struct {
	tokens int
	// longestGap is the longest time between two tokens.
	longestGap time.Duration
}

// sendStream sends one chat request and reads its answer to the end.
func (c *caller) sendStream(address, kind, body string) (streamStats, error) {
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
		return streamStats{}, trace.Wrap(err)
	}
	defer func() { _ = answer.CloseBodyStream() }() // the body has been read
	if answer.StatusCode() != http.StatusOK {
		body, _ := io.ReadAll(answer.BodyStream()) // the status suffices if the body cannot be read
		return streamStats{}, trace.Errorf("the stream request was answered with status %d: %s", answer.StatusCode(), body)
	}
	return readStream(bufio.NewReaderSize(answer.BodyStream(), streamBytes))
}

// readStream counts the token events of a stream; it returns an error unless the stream is complete.
func readStream(events *bufio.Reader) (streamStats, error) {
	var stats streamStats
	var last time.Time
	var line []byte
	for {
		var err error
		line, err = lines.Append(line[:0], events, longestLine)
		if err != nil {
			return stats, trace.Wrap(err, "reading the stream after %d tokens", stats.tokens)
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		switch {
		case !found:
		case bytes.Equal(data, doneMarker):
			return stats, nil
		case bytes.Contains(data, []byte(`"error"`)):
			return stats, trace.Errorf("the stream ended with an error event: %s", data)
		case bytes.Contains(data, []byte(`"content"`)):
			now := time.Now()
			if stats.tokens > 0 {
				stats.longestGap = max(stats.longestGap, now.Sub(last))
			}
			stats.tokens++
			last = now
		}
	}
}

// chatBody returns a request for a number of output tokens; number makes its prompt unique.
func chatBody(model string, tokens, number int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, model, tokens, number)
}
