package checkedconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

var whole = halfhead.Answer{Headers: "X-A: b\r\n", Body: "whole answer"}

// reply is an answer as a client of a library got it.
type reply struct {
	status  int
	body    string
	trailer string
}

// libraries are the clients that read answers through the checks, by name.
func libraries(t *testing.T) map[string]func(method, address string) (reply, error) {
	t.Helper()
	transport := checkedconn.NewTransport(nil, nil)
	t.Cleanup(transport.CloseIdleConnections)
	dial := checkedconn.WithChecks((&net.Dialer{}).DialContext)
	fast := &fasthttp.Client{
		StreamResponseBody: true, MaxIdemponentCallAttempts: 1, ReadBufferSize: answerhead.MaxBytes,
		Dial: func(address string) (net.Conn, error) { return dial(context.Background(), "tcp", address) },
	}
	t.Cleanup(fast.CloseIdleConnections)
	return map[string]func(method, address string) (reply, error){
		"net/http": func(method, address string) (reply, error) {
			request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/", strings.NewReader("body"))
			if err != nil {
				return reply{}, err
			}
			answer, err := transport.RoundTrip(request)
			if err != nil {
				return reply{}, err
			}
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			return reply{answer.StatusCode, string(body), answer.Trailer.Get("X-Checksum")}, err
		},
		"fasthttp": func(method, address string) (reply, error) {
			request, answer := &fasthttp.Request{}, &fasthttp.Response{}
			request.Header.SetMethod(method)
			request.SetRequestURI("http://" + address + "/")
			request.SetBodyString("body")
			if err := fast.Do(request, answer); err != nil {
				return reply{}, err
			}
			if answer.BodyStream() == nil {
				return reply{status: answer.StatusCode()}, nil
			}
			body, err := io.ReadAll(answer.BodyStream())
			trailer := string(answer.Header.Peek("X-Checksum"))
			if closed := answer.CloseBodyStream(); err == nil {
				err = closed
			}
			return reply{answer.StatusCode(), string(body), trailer}, err
		},
	}
}

// start starts a server with a reply for each request, by its number from 1.
func start(t *testing.T, replyTo func(number int) halfhead.Reply) *halfhead.Server {
	t.Helper()
	var server *halfhead.Server
	server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return replyTo(server.Requests()) })
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// Guards against a library that takes an answer which is none, on a fresh connection and on a kept one.
func TestLibrariesGetNoBrokenAnswers(t *testing.T) {
	t.Parallel()
	for name, get := range libraries(t) {
		for _, way := range append(brokenanswer.Heads(whole), brokenanswer.Bodies(whole)...) {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				for _, soundBefore := range []int{0, 1} {
					server := start(t, func(number int) halfhead.Reply {
						if number <= soundBefore {
							return halfhead.Reply{Pieces: []string{whole.Whole()}, End: halfhead.Keep}
						}
						return halfhead.Reply{Pieces: []string{way.Text}}
					})
					for range soundBefore {
						answer, err := get(http.MethodPost, server.Address())
						require.NoError(t, err)
						require.Equal(t, reply{200, whole.Body, ""}, answer)
					}
					_, err := get(http.MethodPost, server.Address())
					require.Error(t, err)
					require.Equal(t, soundBefore+1, server.Requests())
					if way.Rule != "" && name == "net/http" { // the other library does not wrap errors
						require.Equal(t, way.Rule, grammar.BrokenRule(err), "%v", err)
					}
				}
			})
		}
	}
}

// Guards against sound answers that are refused or changed since few servers send the like.
func TestLibrariesGetUnusualAnswers(t *testing.T) {
	t.Parallel()
	for name, get := range libraries(t) {
		for _, unusual := range brokenanswer.UnusualAnswers(whole) {
			t.Run(name+"/"+unusual.Name, func(t *testing.T) {
				server := start(t, func(int) halfhead.Reply { return halfhead.Reply{Pieces: []string{unusual.Text}} })
				answer, err := get(http.MethodPost, server.Address())
				require.NoError(t, err)
				require.Equal(t, unusual.Status, answer.status)
				require.Equal(t, whole.Body, answer.body)
			})
		}
	}
}

// Guards against answers that end elsewhere than the library believes: bodies of all kinds in turn on one connection, and heads alone.
func TestAnswersOfAllKindsFollowOneAnother(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("0123456789", 5_000)
	answers := []struct{ method, text, body string }{
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", ""},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc"},
		{http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + long, long},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nC350\r\n" + long + "\r\n0\r\n\r\n", long},
		{http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end"},
		{http.MethodPost, "HTTP/1.0 200 OK\r\n\r\nuntil the end", "until the end"},
	}
	for name, get := range libraries(t) {
		t.Run(name, func(t *testing.T) {
			server := start(t, func(number int) halfhead.Reply {
				text := answers[number-1].text
				if strings.HasSuffix(text, "until the end") {
					return halfhead.Reply{Pieces: []string{text}}
				}
				return halfhead.Reply{Pieces: []string{text}, End: halfhead.Keep}
			})
			for _, each := range answers {
				answer, err := get(each.method, server.Address())
				require.NoError(t, err, each.text)
				require.Equal(t, each.body, answer.body)
			}
		})
	}
}

// Guards against a trailer that is lost on the way to the library.
func TestTrailersArePassedOn(t *testing.T) {
	t.Parallel()
	text := "HTTP/1.1 200 OK\r\nTrailer: X-Checksum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Checksum: 5\r\n\r\n"
	for name, get := range libraries(t) {
		server := start(t, func(int) halfhead.Reply { return halfhead.Reply{Pieces: []string{text}, End: halfhead.Keep} })
		answer, err := get(http.MethodPost, server.Address())
		require.NoError(t, err)
		require.Equal(t, reply{200, "abc", "5"}, answer, name)
	}
}

// Guards against bytes behind an answer, in the same segment or later, that are taken for the answer to the next request.
func TestSurplusAnswerIsNotTakenForTheNext(t *testing.T) {
	t.Parallel()
	const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"
	for name, pieces := range map[string][]string{"at once": {whole.Whole() + surplus}, "later": {whole.Whole(), surplus}} {
		for library, get := range libraries(t) {
			t.Run(name+"/"+library, func(t *testing.T) {
				server := start(t, func(number int) halfhead.Reply {
					if number == 1 {
						return halfhead.Reply{Pieces: append([]string(nil), pieces...), Pause: time.Millisecond, End: halfhead.Keep}
					}
					return halfhead.Reply{Pieces: []string{whole.Whole()}, End: halfhead.Keep}
				})
				for range 5 {
					time.Sleep(10 * time.Millisecond) // the surplus has arrived
					answer, err := get(http.MethodPost, server.Address())
					if err == nil {
						require.Equal(t, whole.Body, answer.body)
					}
				}
			})
		}
	}
}

// Guards against events that wait for those that follow them.
func TestChunksArePassedOnAsTheyArrive(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	go func() { _, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") }()
	answer, err := http.ReadResponse(bufio.NewReader(checkedconn.New(near)), nil)
	require.NoError(t, err)
	for number := range 10 {
		event := fmt.Sprint("event ", number)
		go func() { _, _ = fmt.Fprintf(far, "%x;a=b\r\n%s\r\n", len(event), event) }()
		received := make([]byte, len(event))
		_, err := io.ReadFull(answer.Body, received)
		require.NoError(t, err)
		require.Equal(t, event, string(received))
	}
	require.NoError(t, near.Close())
	require.NoError(t, far.Close())
}

// failingWriter is a connection whose write gets the reset and whose read sees an ordinary end, in this order or the other.
type failingWriter struct {
	net.Conn
	read      []byte
	isStopped chan struct{}
}

func (f *failingWriter) Write([]byte) (int, error) {
	<-f.isStopped
	return 0, syscall.ECONNRESET
}

func (f *failingWriter) Read(buffer []byte) (int, error) {
	if len(f.read) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, f.read)
	f.read = f.read[n:]
	return n, nil
}

func (f *failingWriter) SetWriteDeadline(time.Time) error {
	close(f.isStopped)
	return nil
}

// Guards against the part of an answer without a length that looks whole, since the write of the request has got the reset.
func TestResetThatTheWriteHasGotBreaksTheAnswer(t *testing.T) {
	t.Parallel()
	connection := checkedconn.New(&failingWriter{read: []byte("HTTP/1.1 200 OK\r\n\r\npart"), isStopped: make(chan struct{})})
	writing := make(chan struct{})
	go func() {
		close(writing)
		_, _ = connection.Write([]byte("POST / HTTP/1.1\r\n"))
	}()
	<-writing
	time.Sleep(10 * time.Millisecond) // the write waits
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(answer.Body)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
