package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Guards against the part of an answer that counts as a whole one, since the back end has reset the connection while the rest of a long
// request was being written.
func TestResetWhileTheRequestIsWrittenIsNoAnswer(t *testing.T) {
	t.Parallel()
	const tries, bodyBytes = 20, 64 << 20 // more than the buffers of a loopback connection
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err == nil {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+enginecontract.HeaderExchange+": "+request.Header.Get(enginecontract.HeaderExchange)+"\r\n\r\npart")
		}
		_ = connection.SetLinger(0)
	})
	body := make([]byte, bodyBytes)
	for range tries {
		_, _, failure := newTestClient(t).Do(Request{
			Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Body: body, Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
		})
		require.NotNil(t, failure)
		require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	}
}

// Guards against the part of an answer that counts as a whole one: the back end has crashed with nothing unread while the kernel still
// sent the request, so that the end of its stream comes first and the reset behind it.
func TestEndBeforeTheRequestIsReceivedIsNoAnswer(t *testing.T) {
	t.Parallel()
	listener, err := linkserver.Listen("127.0.0.1:0", linkserver.SmallReceiveBuffer)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	for name, test := range map[string]struct {
		end     func(*net.TCPConn)
		isWhole bool
	}{
		"reset behind the end": {linkserver.Crash, false},
		"received on":          {linkserver.ReceiveOn, true},
	} {
		for sizeName, size := range map[string]int{"40 KB": 40 << 10, "100 KB": 100 << 10, "1 MB": 1 << 20} {
			t.Run(name+"/"+sizeName, func(t *testing.T) {
				go func() {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					defer connection.Close()
					request, err := http.ReadRequest(bufio.NewReader(connection))
					if err != nil {
						return
					}
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+enginecontract.HeaderExchange+": "+request.Header.Get(enginecontract.HeaderExchange)+"\r\n\r\npart")
					for unread := size; unread > 20<<10 && !test.isWhole; unread -= 10 << 10 { // until the kernel of the client has the rest
						_, _ = io.CopyN(io.Discard, connection, 10<<10)
					}
					test.end(connection.(*net.TCPConn))
				}()
				answer, _, failure := newTestClient(t).Do(Request{
					Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Body: make([]byte, size), Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
				})
				if failure != nil { // the write has met the reset
					require.False(t, test.isWhole, "%v", failure.Cause)
					require.Equal(t, verdict.MayHaveRun, failure.Verdict)
					return
				}
				defer answer.Close()
				body, err := answer.ReadAll()
				require.Equal(t, test.isWhole, err == nil, "%q, %v", body, err)
			})
		}
	}
}
