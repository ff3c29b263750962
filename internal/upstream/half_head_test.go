package upstream

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// startServer starts a server in whose answers ID stands for the request's exchange.
func startServer(t *testing.T, replyTo func(number int) halfhead.Reply) *halfhead.Server {
	t.Helper()
	var requests atomic.Int64
	server, err := halfhead.Start(func(request *http.Request) halfhead.Reply {
		reply := replyTo(int(requests.Add(1)))
		for index, piece := range reply.Pieces {
			reply.Pieces[index] = strings.ReplaceAll(piece, "ID", request.Header.Get(enginecontract.HeaderExchange))
		}
		return reply
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client, err := NewClient(Options{})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// get sends a request and reads the whole answer.
func get(client *Client, method, address string) (body string, status int, failure *Failure, err error) {
	answer, _, failure := client.Do(Request{Address: address, Method: method, Target: "/", Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute)})
	if failure != nil {
		return "", 0, failure, nil
	}
	defer answer.Close()
	content, err := answer.ReadAll()
	return string(content), answer.Status, nil, err
}

// Guards against an answer that stops within its head, or without its body, and counts as not run or as an answer without content.
func TestHalfHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for status, method := range map[string]string{"200 OK": http.MethodPost, "204 No Content": http.MethodPost, "304 Not Modified": http.MethodGet, "200 Head": http.MethodHead} {
		whole := halfhead.Answer{Status: status, Headers: enginecontract.HeaderExchange + ": ID\r\n", Body: "whole answer"}
		hasBody := status == "200 OK"
		if !hasBody {
			whole.Body = ""
		}
		for _, way := range whole.Ways() {
			if way.IsHeadWhole && (!hasBody || way.IsLengthZero) {
				continue // whole
			}
			for endName, end := range halfhead.Ends {
				t.Run(status+"/"+way.Name+"/"+endName, func(t *testing.T) {
					t.Parallel()
					server := startServer(t, func(int) halfhead.Reply { return halfhead.Reply{Pieces: []string{way.Text}, End: end} })
					client := newTestClient(t)
					answer, _, failure := client.Do(Request{Address: server.Address(), Method: method, Target: "/", Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute)})
					if failure != nil {
						require.Equal(t, verdict.MayHaveRun, failure.Verdict)
						return
					}
					defer answer.Close()
					require.True(t, way.IsHeadWhole)
					_, err := answer.ReadAll()
					require.False(t, err == nil && answer.HasLength(), "callers use a body that has its length")
				})
			}
		}
	}
}

// Guards against the first answer of a kept connection that is taken for a part of the second, whose head stops.
func TestSecondAnswerMayStopWithinItsHead(t *testing.T) {
	t.Parallel()
	whole := halfhead.Answer{Headers: enginecontract.HeaderExchange + ": ID\r\n", Body: "whole answer"}
	for _, way := range whole.Ways() {
		if way.IsHeadWhole {
			continue
		}
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(number int) halfhead.Reply {
				if number == 1 {
					return halfhead.Reply{Pieces: []string{whole.Whole()}, End: halfhead.Keep}
				}
				return halfhead.Reply{Pieces: []string{way.Text}}
			})
			client := newTestClient(t)
			body, _, failure, err := get(client, http.MethodPost, server.Address())
			require.Nil(t, failure)
			require.NoError(t, err)
			require.Equal(t, whole.Body, body)
			_, _, failure, _ = get(client, http.MethodPost, server.Address())
			require.NotNil(t, failure)
			require.Equal(t, verdict.MayHaveRun, failure.Verdict)
			require.Equal(t, 2, server.Requests())
		})
	}
}

// Guards against heads that arrive in pieces around the size of a read buffer: a whole one must be used, and one that stops there not.
func TestHeadInPiecesAroundTheBufferSize(t *testing.T) {
	t.Parallel()
	const identityBytes = 2*exchangeBytes - len("ID") // by which the head grows
	for _, size := range halfhead.ReadBufferSizes {
		for headLength := size - 3; headLength <= size+3; headLength++ {
			const rest = len("Content-Length: 12\r\n\r\n") + identityBytes
			whole := halfhead.Answer{Headers: enginecontract.HeaderExchange + ": ID\r\n", Body: "whole answer"}.Padded(headLength - rest).Whole()
			headEnd := headLength - identityBytes
			for cut := headEnd - 4; cut < headEnd; cut++ {
				for isWhole, isUsed := range map[bool]bool{true: headLength <= answerhead.MaxBytes, false: false} {
					server := startServer(t, func(int) halfhead.Reply {
						reply := halfhead.Reply{Pieces: []string{whole[:cut]}, Pause: time.Millisecond}
						if isWhole {
							reply.Pieces = append(reply.Pieces, whole[cut:])
						}
						return reply
					})
					body, _, failure, err := get(newTestClient(t), http.MethodPost, server.Address())
					require.Equal(t, isUsed, failure == nil && err == nil && body == "whole answer", "%d bytes, cut at %d, whole %v: %v", headLength, cut, isWhole, failure)
				}
			}
		}
	}
}

// Guards against the answer to a request for a head alone that is read with a body: the client waits for it until the deadline, or takes
// the next answer of the connection for it.
func TestAnswersWithoutABodyAreWhole(t *testing.T) {
	t.Parallel()
	echo := enginecontract.HeaderExchange + ": ID\r\n"
	for name, test := range map[string]struct{ method, text string }{
		"HEAD":               {http.MethodHead, "HTTP/1.1 200 OK\r\n" + echo + "\r\n"},
		"HEAD with a length": {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + echo + "\r\n"},
		"HEAD of chunks":     {http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + echo + "\r\n"},
		"no content":         {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + echo + "\r\n"},
		"not modified":       {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n" + echo + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := halfhead.Answer{Headers: echo, Body: "whole answer"}.Whole()
			server := startServer(t, func(number int) halfhead.Reply {
				if number == 1 {
					return halfhead.Reply{Pieces: []string{test.text}, End: halfhead.Keep}
				}
				return halfhead.Reply{Pieces: []string{whole}}
			})
			client := newTestClient(t)
			answer, _, failure := client.Do(Request{Address: server.Address(), Method: test.method, Target: "/", Exchange: NewExchange(), Deadline: time.Now().Add(10 * time.Second)})
			require.Nil(t, failure)
			body, err := answer.ReadAll()
			require.NoError(t, err)
			require.Empty(t, body)
			require.True(t, answer.HasLength())
			answer.Close()
			content, _, failure, err := get(client, http.MethodGet, server.Address())
			require.Nil(t, failure)
			require.NoError(t, err)
			require.Equal(t, "whole answer", content)
		})
	}
}
