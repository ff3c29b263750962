package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// shortTime is a route's time that ends within a test.
const shortTime = time.Second

func shortTimeout(config *serving.Route) { config.Timeout = shortTime }

// paced returns a script that writes a beginning, and then a unit every few milliseconds until the relay closes the connection, so
// that the client can keep up.
func paced(beginning, unit string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		_, err := io.WriteString(connection, strings.ReplaceAll(beginning, "ID", string(request.head.Peek("T-Id"))))
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(connection, unit)
		}
		return false
	}
}

// Guards against a back end that goes on to get requests although its answers do not end within their requests' time.
func TestBackEndWithEndlessBodyIsAvoided(t *testing.T) {
	t.Parallel()
	for name, spoilt := range map[string]script{
		"small chunks":    endless(chunkedHead, "1\r\nx\r\n"),
		"large chunks":    paced(chunkedHead, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n"),
		"length":          endless("HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
		"until it closes": endless("HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Seal: seal\r\n\r\n", "x"),
		"beginning only": func(connection net.Conn, request backEndRequest) bool {
			_, _ = io.WriteString(connection, strings.ReplaceAll(chunkedHead, "ID", string(request.head.Peek("T-Id")))+"1\r\nx\r\n")
			_, _ = connection.Read(make([]byte, 1)) // until the relay closes the connection
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := startBackEnd(t, "bad", serving.StageWhole, onceThen(spoilt, answering(200, "whole")))
			sound := startBackEnd(t, "sound", serving.StageWhole, answering(200, "whole"))
			relay := newTestRelay(t, longTimeout(safe, shortTimeout), bad, sound).preferring("bad")
			answer := relay.client(t).do("GET", "/path/", "")
			require.False(t, answer.status == 200 && answer.isComplete, "the answer looks complete")
			require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
			requireAvoidedAndBack(t, relay, bad, func() {
				require.Equal(t, "whole", relay.client(t).do("GET", "/path/", "").body)
			})
		})
	}
}
