package relay

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// bodiesShare is what the bodies of clients may take of a relay's memory limit (284 MB): a quarter.
	bodiesShare = 284 << 20 / 4
	// longestBody is the size of the longest body that the default limits allow.
	longestBody = 4 << 20
	// manyClients are so many that their longest bodies do not fit into bodiesShare.
	manyClients = 40
)

// Guards against a relay that runs out of memory because many clients send long bodies at once.
func TestLongBodiesOfManyClientsAreBounded(t *testing.T) {
	t.Parallel()
	for name, framed := range map[string]func(client *testClient, body string){
		"length": func(client *testClient, body string) { client.send("POST", "/path/", body) },
		"chunks": func(client *testClient, body string) {
			client.send("POST", "/path/", "", "Transfer-Encoding: chunked")
			_, _ = client.connection.Write(append(appendChunk(nil, []byte(body)), "0\r\n\r\n"...))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var held, refused, served atomic.Int64
			answer := make(chan struct{})
			backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				held.Add(int64(len(request.body)))
				<-answer
				writeAnswer(connection, request, 200, "whole")
				return true
			})
			relay := newTestRelay(t, longTimeout(), backEnd)
			body := strings.Repeat("x", longestBody)
			var group sync.WaitGroup
			for range manyClients {
				client := relay.client(t)
				group.Go(func() {
					framed(client, body)
					switch answer := client.read(); answer.status {
					case 200:
						served.Add(1)
					case 503:
						refused.Add(1)
					default:
						t.Errorf("status %d: %s", answer.status, answer.body)
					}
				})
			}
			require.Eventually(t, func() bool { return held.Load()/longestBody+refused.Load() == manyClients }, time.Minute, time.Millisecond)
			require.LessOrEqual(t, held.Load(), int64(bodiesShare))
			close(answer)
			group.Wait()
			require.EqualValues(t, manyClients, served.Load()+refused.Load())
			require.EqualValues(t, held.Load()/longestBody, served.Load())
			require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
			require.Equal(t, 200, relay.client(t).do("POST", "/path/", body).status, "the bodies before are released")
		})
	}
}

// Guards against bodies without end that are read beyond the limit, or of which a part reaches a back end.
func TestEndlessBodyOfClientIsRefused(t *testing.T) {
	t.Parallel()
	for name, request := range map[string][2]string{
		"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
		"small chunks":    {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":      {"Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
		"length":          {"Content-Length: 1000000000000\r\n\r\n", "x"},
		"header lines":    {"", "X-Filler: x\r\n"},
		"one header line": {"X-Filler: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "whole"))
			client := newTestRelay(t, longTimeout(), backEnd).client(t)
			sent := 0
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, err := io.WriteString(client.connection, "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: id\r\n"+request[0])
				for units := strings.Repeat(request[1], 1+4096/len(request[1])); err == nil; {
					var n int
					n, err = io.WriteString(client.connection, units)
					sent += n
				}
			}()
			answer := client.read()
			require.Contains(t, []int{400, 413, 431}, answer.status)
			<-ended
			const buffered = 16 << 20 // of both ends of the connection
			require.LessOrEqual(t, sent, 6*longestBody+buffered)
			require.Empty(t, backEnd.receivedRequests())
		})
	}
}
