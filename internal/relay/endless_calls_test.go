package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against calls of the relay's own that read an answer without end, whatever its format.
func TestOwnCallsGiveUpEndlessAnswers(t *testing.T) {
	t.Parallel()
	const (
		readAtMost = maxCallAnswerBytes
		buffered   = 16 << 20 // of both ends of the connection
	)
	answers := map[string][2]string{
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"one header line":     {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"no HTTP":             {"", "\x00"},
		"until it closes":     {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
		"trailers":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
	}
	calls := map[string]func(relay *testRelay, engine *backEnd){
		"move": func(relay *testRelay, engine *backEnd) {
			asked := &request{id: "1", deadline: relay.clock.now() + time.Minute}
			copied, handle := relay.exchanger.copyRun(engine, relay.dialect, asked, "address", true)
			require.False(t, copied)
			require.Empty(t, handle)
		},
		"release": func(relay *testRelay, engine *backEnd) {
			relay.exchanger.release(&remotePrefill{engine: engine}, "/handle/1")
		},
		"report": func(relay *testRelay, engine *backEnd) {
			require.Error(t, relay.readReport(t, engine))
		},
		"call": func(_ *testRelay, engine *backEnd) {
			answer, err := newCaller(&http.Transport{}, time.Minute).Get("http://" + engine.Address + "/health")
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
			}
			require.Error(t, err)
		},
	}
	for name, answer := range answers {
		for kind, call := range calls {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				sent, ended := 0, make(chan struct{})
				backEnd := startBackEnd(t, "one", serving.StageDecode, func(connection net.Conn, _ backEndRequest) bool {
					defer close(ended)
					_, err := io.WriteString(connection, answer[0])
					for units := strings.Repeat(answer[1], 1+4096/len(answer[1])); err == nil; {
						var n int
						n, err = io.WriteString(connection, units)
						sent += n
					}
					return false
				})
				relay := newTestRelay(t, longTimeout(), backEnd)
				call(relay, relay.engineOf("one"))
				<-ended
				require.LessOrEqual(t, sent, readAtMost+buffered)
			})
		}
	}
}

// readReport reads an engine's report over a connection of its own.
func (r *testRelay) readReport(t *testing.T, engine *backEnd) error {
	t.Helper()
	connection, err := net.Dial("tcp", engine.Address)
	require.NoError(t, err)
	pooled := connpool.NewConnection(connection, r.clock.now())
	defer pooled.Discard()
	asked := &message{request: &request{id: "1"}, backEnd: engine, deadline: r.clock.now() + time.Minute}
	require.True(t, asked.canceller().attach(pooled, asked.deadline))
	_, err = r.exchanger.readStartTime(pooled, asked)
	return err
}
