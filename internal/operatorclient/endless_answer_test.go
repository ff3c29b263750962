package operatorclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
)

// startEndless starts a server that answers each request with a beginning, and then the same unit until the client closes the
// connection. It returns its address and the number of bytes that it has sent.
func startEndless(t *testing.T, beginning, unit string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, err := io.WriteString(connection, beginning)
		units := strings.Repeat(unit, 1+4096/len(unit))
		for err == nil {
			var n int
			n, err = io.WriteString(connection, units)
			sent.Add(int64(n))
		}
	})
	return listener.Addr().String(), sent
}

// Guards against an answer of a controller that is read until the timeout of the attempt, up to the memory of the machine.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	const (
		// readAtMost is what the client may read, and bufferedAtMost what both ends of the connection may hold besides.
		readAtMost, bufferedAtMost = 64 << 20, 16 << 20
		head                       = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	)
	for name, answer := range map[string][2]string{
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"header lines":        {head, "X-Filler: x\r\n"},
		"one header line":     {head + "X-Filler: ", "x"},
		"no HTTP":             {"", "\x00"},
		"body":                {head + "\r\n", "x"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
		"error":               {"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n", "x"},
		"redirects":           {"HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndless(t, answer[0], answer[1])
			_, sound := startController(t, succeed)
			applied, err := newClient(t, testTimeout, address, sound).Apply(t.Context(), &v1.ApplyRequest{})
			require.NoError(t, err)
			require.EqualValues(t, 7, applied.GetRevision())
			require.LessOrEqual(t, sent.Load(), int64(readAtMost+bufferedAtMost))
		})
	}
}
