package load

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// unreceivedBytes is the size of a body that the kernels of both ends hold, and of which the one behind a link has not received all.
const unreceivedBytes = 12 << 10

// Guards against a load tool that counts the answer of a server which has crashed before it had received the whole request, and loses that
// of a server which has answered early and receives on.
func TestAnswerThatEndsBeforeItsRequestIsReceivedIsNotCompleted(t *testing.T) {
	t.Parallel()
	upload := request{method: http.MethodPost, path: "/lots/7", body: bytes.Repeat([]byte("x"), unreceivedBytes), deadline: time.Minute}
	for name, test := range map[string]struct {
		end         func(*net.TCPConn)
		isCompleted bool
	}{"crash": {linkserver.Crash, false}, "receives on": {linkserver.ReceiveOn, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := linkserver.StartEarly("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+page.Receipt(upload.path, "", upload.body), test.end)
			require.NoError(t, err)
			t.Cleanup(func() { _ = server.Close() })
			client := newClient(Target{Gateways: []string{server.Addr().String()}})
			t.Cleanup(client.http.CloseIdleConnections)
			result := client.send(upload, time.Now(), io.Discard)
			require.Equal(t, test.isCompleted, result.Outcome == Completed, "%s: %s", result.Outcome, result.Detail)
		})
	}
}
