package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
)

// startEarlyBackEnd starts a back end that sends the head of its answer, with the given header line, before it reads the
// request's body. Its answer is the length of the body.
func startEarlyBackEnd(t *testing.T, contentType string) *scriptedBackEnd {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		reader, head := bufio.NewReader(connection), &fasthttp.RequestHeader{}
		if head.Read(reader) != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nT-Id: "+string(head.Peek("T-Id"))+"\r\nT-Seal: seal\r\n"+contentType+"Transfer-Encoding: chunked\r\n\r\n")
		body, err := io.ReadAll(io.LimitReader(reader, int64(head.ContentLength())))
		if err != nil || len(body) < head.ContentLength() {
			return
		}
		_, _ = connection.Write(appendChunk(nil, []byte("data: "+strconv.Itoa(len(body))+"\n\n")))
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		_, _ = reader.ReadByte() // keeps the connection open
	})
	return &scriptedBackEnd{entry: serving.BackEnd{ID: "early", Service: "service", Address: listener.Addr().String(), Zone: "zone", Slots: 8, Software: "v1"}}
}

// Guards against a request that is lost because its back end sends the head of its answer before it has read a long body:
// the relay stopped sending the body at the head, and the back end waited for the rest.
func TestBodyIsSentOnAfterAnEarlyHead(t *testing.T) {
	body := strings.Repeat("x", 3<<20)
	for name, test := range map[string]struct {
		kind        func(*serving.Route)
		contentType string
	}{
		"plain":  {func(*serving.Route) {}, ""},
		"stream": {stream(false), "Content-Type: text/event-stream\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := newTestRelay(t, route(test.kind), startEarlyBackEnd(t, test.contentType))
			relay.exchanger.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err == nil {
					err = connection.(*net.TCPConn).SetWriteBuffer(4 << 10) // smaller than the body
				}
				return connection, err
			}
			answer := relay.client(t).do("POST", "/path/", body)
			require.Equal(t, 200, answer.status)
			require.True(t, answer.isComplete)
			require.Equal(t, "data: "+strconv.Itoa(len(body))+"\n\n", answer.body)
		})
	}
}
