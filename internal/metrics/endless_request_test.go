package metrics

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Guards against requests without end that the admin server reads for good, or up to more than a few kilobytes.
func TestEndlessRequestsAreEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := AdminServer{Registry: prometheus.NewRegistry(), Log: logring.New("test", settings.Log{RingEntries: 1}), Ready: func() error { return nil }}
	go func() { _ = server.Serve(t.Context(), listener) }()
	const dump = "POST " + PathLogDump + " HTTP/1.1\r\nHost: test\r\n"
	for name, request := range map[string]struct {
		beginning, unit string
		pause           time.Duration
	}{
		"header lines":    {"GET " + PathHealth + " HTTP/1.1\r\n", "X-Filler: x\r\n", 0},
		"one header line": {"GET " + PathHealth + " HTTP/1.1\r\nX-Filler: ", "x", 0},
		"target":          {"GET /", "x", 0},
		"no HTTP":         {"", "\x00", 0},
		"chunks":          {dump + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0},
		"length":          {dump + "Content-Length: 1000000000\r\n\r\n", "x", 0},
		"slow head":       {"GET " + PathHealth + " HTTP/1.1\r\nX-Filler: ", "x", 100 * time.Millisecond},
		"slow body":       {dump + "Content-Length: 100000\r\n\r\n", "x", 100 * time.Millisecond},
		"slow chunks":     {dump + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connection, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer connection.Close()
			ended := make(chan struct{})
			go func() { // the answer, if there is one, is not of interest
				defer close(ended)
				_, _ = io.Copy(io.Discard, connection)
			}()
			units := request.unit
			if request.pause == 0 {
				units = strings.Repeat(request.unit, 1+4096/len(request.unit))
			}
			sent := 0
			_, err = io.WriteString(connection, request.beginning)
			for giveUp := time.Now().Add(30 * time.Second); err == nil && time.Now().Before(giveUp); time.Sleep(request.pause) {
				var n int
				n, err = io.WriteString(connection, units)
				sent += n
			}
			require.Error(t, err, "the server still reads")
			<-ended
			const buffered = 16 << 20 // of both ends of the connection
			require.LessOrEqual(t, sent, buffered)
		})
	}
}
