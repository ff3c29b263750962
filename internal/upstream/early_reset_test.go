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
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err == nil {
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+enginecontract.HeaderExchange+": "+request.Header.Get(enginecontract.HeaderExchange)+"\r\n\r\npart")
			}
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	}()
	body := make([]byte, bodyBytes)
	for range tries {
		_, _, failure := newTestClient(t).Do(Request{
			Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Body: body, Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
		})
		require.NotNil(t, failure)
		require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	}
}
