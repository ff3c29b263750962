package checkedconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// uploadBytes is the size of a request that does not fit into the buffers of a connection across an ordinary link.
	uploadBytes = 3 << 20
	// uploadTries is the number of requests of which at least one must meet the race between the write of the request and the read of the
	// answer.
	uploadTries = 3
	// partTime is how long a client has to read the part of an answer that precedes a break.
	partTime = 20 * time.Millisecond
	// testUserTimeout is how long the kernel waits for acknowledgements of a silent server.
	testUserTimeout = 200 * time.Millisecond
)

// earlyBreaks are the ways in which a server breaks off while the rest of the request waits for it.
var earlyBreaks = map[string]func(t *testing.T, connection *net.TCPConn){
	"reset":                    func(_ *testing.T, connection *net.TCPConn) { _ = connection.SetLinger(0) },
	"closed with unread bytes": func(*testing.T, *net.TCPConn) {},
	"ended, then reset":        func(_ *testing.T, connection *net.TCPConn) { linkserver.Crash(connection) },
	"silent": func(t *testing.T, connection *net.TCPConn) {
		_ = silence.Begin(connection)
		<-t.Context().Done()
	},
}

// startEarly starts a server that answers each request before it has read it, with a part of an answer without a length, and breaks off.
func startEarly(t *testing.T, end func(*testing.T, *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := linkserver.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(partTime)
		end(t, connection)
	})
	return listener.Addr().String()
}

// Guards against the part of an answer without a length that a library returns as a whole one: the server has broken off while the rest
// of a long request was being written, and the write has got the error that says so.
func TestBreakWhileTheRequestIsWrittenIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	dialer := linkserver.Dialer(testUserTimeout)
	transport := checkedconn.NewTransport(dialer.DialContext, nil)
	t.Cleanup(transport.CloseIdleConnections)
	dial := checkedconn.WithChecks(dialer.DialContext)
	fast := &fasthttp.Client{
		StreamResponseBody: true, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) { return dial(context.Background(), "tcp", address) },
	}
	body := strings.Repeat("x", uploadBytes)
	uploads := map[string]func(address string) ([]byte, error){
		"net/http": func(address string) ([]byte, error) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(body))
			if err != nil {
				return nil, err
			}
			answer, err := transport.RoundTrip(request)
			if err != nil {
				return nil, err
			}
			defer answer.Body.Close()
			return io.ReadAll(answer.Body)
		},
		"fasthttp": func(address string) ([]byte, error) {
			request, answer := &fasthttp.Request{}, &fasthttp.Response{}
			request.Header.SetMethod(http.MethodPost)
			request.SetRequestURI("http://" + address + "/")
			request.SetBodyString(body)
			if err := fast.Do(request, answer); err != nil {
				return nil, err
			}
			received, err := io.ReadAll(answer.BodyStream())
			return received, errors.Join(err, answer.CloseBodyStream())
		},
	}
	for library, upload := range uploads {
		for name, end := range earlyBreaks {
			t.Run(library+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := startEarly(t, end)
				for range uploadTries {
					received, err := upload(address)
					require.Error(t, err, "%d bytes look whole", len(received))
				}
			})
		}
	}
}

// Guards against the part of an answer without a length that looks whole, since its end comes between two writes of one request: nothing
// is in progress then, and the server has received all that was written.
func TestEndBetweenTwoWritesOfARequestIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		end     func(*net.TCPConn)
		isWhole bool
	}{"crash": {linkserver.Crash, false}, "receives on": {linkserver.ReceiveOn, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := linkserver.StartEarly("HTTP/1.1 200 OK\r\n\r\npart", test.end)
			require.NoError(t, err)
			t.Cleanup(func() { _ = server.Close() })
			raw, err := net.Dial("tcp", server.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = raw.Close() })
			connection := checkedconn.New(raw)
			_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf")
			require.NoError(t, err)
			go func() {
				time.Sleep(5 * partTime) // the end has arrived by then
				_, _ = io.WriteString(connection, "rest")
			}()
			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(answer.Body)
			require.Equal(t, test.isWhole, err == nil, "%v", err)
		})
	}
}
