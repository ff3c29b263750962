package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against an idle connection that stays open, and fills its receive buffer, while the back end goes on to send bytes after
// a whole answer: only the next request to the back end closed it.
func TestIdleConnectionThatReceivesBytesIsClosed(t *testing.T) {
	t.Parallel()
	for name, goOn := range map[string]func(connection net.Conn){
		"without end": func(connection net.Conn) {
			endless("", "x")(connection, backEndRequest{head: &fasthttp.RequestHeader{}})
		},
		"once": func(connection net.Conn) { _, _ = connection.Write([]byte("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			isIdle, isClosed := make(chan struct{}), make(chan struct{})
			backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				writeAnswer(connection, request, 200, "whole")
				<-isIdle
				goOn(connection)
				_, _ = connection.Read(make([]byte, 1)) // until the relay closes the connection
				close(isClosed)
				return false
			})
			relay := newTestRelay(t, longTimeout(), backEnd)
			require.Equal(t, "whole", relay.client(t).do("POST", "/path/", "once").body)
			relay.awaitIdleConnection(t, relay.engineOf("one"))
			close(isIdle)
			select {
			case <-isClosed:
			case <-time.After(time.Minute):
				require.Fail(t, "the connection stays open")
			}
		})
	}
}
