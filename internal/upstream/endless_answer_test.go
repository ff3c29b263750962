package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Guards against answers without end that are read without a bound, whatever their format, or that count as not run.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const buffered = 16 << 20 // of both ends of the connection
	head := "HTTP/1.1 200 OK\r\n" + enginecontract.HeaderExchange + ": ID\r\n"
	for name, answer := range map[string][2]string{
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"header lines":        {head, "X-Filler: x\r\n"},
		"one header line":     {head + "X-Filler: ", "x"},
		"status line":         {"HTTP/1.1 200 ", "O"},
		"no HTTP":             {"", "\x00"},
		"until it closes":     {head + "\r\n", "x"},
		"length":              {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
		"chunk size":          {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":            {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
		"one trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			sent, ended := 0, make(chan struct{})
			go func() {
				defer close(ended)
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, err = io.WriteString(connection, strings.ReplaceAll(answer[0], "ID", request.Header.Get(enginecontract.HeaderExchange)))
				for units := strings.Repeat(answer[1], 1+4096/len(answer[1])); err == nil; {
					var n int
					n, err = io.WriteString(connection, units)
					sent += n
				}
			}()
			client, err := NewClient(Options{})
			require.NoError(t, err)
			t.Cleanup(client.Close)
			received, _, failure := client.Do(Request{
				Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
			})
			if failure == nil {
				_, err := received.ReadAll()
				received.Close()
				require.Error(t, err)
			} else {
				require.Equal(t, verdict.MayHaveRun, failure.Verdict)
			}
			<-ended
			require.LessOrEqual(t, sent, maximumBufferedResponse+buffered)
		})
	}
}
