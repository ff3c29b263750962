package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// uploadBytes is the size of a request that does not fit into the buffers of a connection across an ordinary link.
	uploadBytes = 3 << 20
	// partTime is how long a gateway has to read the part of an answer that precedes a break.
	partTime = 20 * time.Millisecond
)

// startEarly starts a server that answers each request, before it has read it, with a text in which EXCHANGE stands for the request's
// exchange, and breaks off then. It returns the address, and a channel that receives a value for each request.
func startEarly(t *testing.T, text string, end func(*net.TCPConn)) (address string, requests chan struct{}) {
	t.Helper()
	listener, err := linkserver.Listen(ownAddress())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = make(chan struct{}, 100)
	go linkserver.Serve(listener, func(connection *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		requests <- struct{}{}
		_, _ = io.WriteString(connection, strings.ReplaceAll(text, "EXCHANGE", request.Header.Get(enginecontract.HeaderExchange)))
		time.Sleep(partTime)
		end(connection)
	})
	return listener.Addr().String(), requests
}

// Guards against the part of an answer that a caller gets as a whole one, or as not run: the back end has broken off while the gateway
// was writing a long request to it.
func TestBreakWhileTheRequestIsWrittenIsNotDelivered(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", uploadBytes)
	chat := fmt.Sprintf(`{"model":"base","messages":[{"role":"user","content":%q}]}`, long)
	stream := fmt.Sprintf(`{"model":"base","stream":true,"messages":[{"role":"user","content":%q}]}`, long)
	echo := "HTTP/1.1 200 OK\r\n" + enginecontract.HeaderExchange + ": EXCHANGE\r\n"
	events := echo + "Content-Type: text/event-stream\r\n\r\n" + strings.SplitAfter(wholeStream, "\n\n")[0]
	pageService := func(address string) *v1.BackEnd { return pageBackEnd("broken", address) }
	engine := func(address string) *v1.BackEnd { return engineBackEnd("broken", address, v1.Role_ROLE_MIXED) }
	for name, test := range map[string]struct {
		path, body, kind, part string
		backEnd                func(address string) *v1.BackEnd
	}{
		"page":              {"/registrations", long, "", echo + "Content-Type: text/plain\r\n\r\npart", pageService},
		"page with length":  {"/registrations", long, "", echo + "Content-Type: text/plain\r\nContent-Length: 9\r\n\r\npart", pageService},
		"chat":              {"/v1/chat/completions", chat, "once", events, engine},
		"stream":            {"/v1/chat/completions", stream, "once", events, engine},
		"repeatable chat":   {"/v1/chat/completions", chat, "matching", events, engine},
		"repeatable stream": {"/v1/chat/completions", stream, "matching", events, engine},
	} {
		for breakName, end := range map[string]func(*net.TCPConn){
			"reset":                    func(connection *net.TCPConn) { _ = connection.SetLinger(0) },
			"closed with unread bytes": func(*net.TCPConn) {},
			"ended, then reset":        linkserver.Crash,
		} {
			t.Run(name+"/"+breakName, func(t *testing.T) {
				t.Parallel()
				address, requests := startEarly(t, test.part, end)
				config := testSettings(startController(t, test.backEnd(address)).address)
				config.Limits.BodyBytes = 2 * uploadBytes
				gateway := startGateway(t, config)
				headers := map[string]string{}
				if test.kind != "" {
					headers[HeaderKind] = test.kind
				}
				var answer callerAnswer
				require.Eventually(t, func() bool { // until the gateway knows the back end
					answer = call(t, http.MethodPost, gateway.url+test.path, test.body, headers)
					return len(requests) > 0
				}, eventually, often)
				require.False(t, answer.status < 300 && (test.kind == "" || answer.isComplete), "status %d, %q", answer.status, answer.body)
				for _, told := range []string{answer.verdict, answer.finalVerdict, answer.errorVerdict} {
					require.NotEqual(t, verdict.NotRun.String(), told)
					require.NotEqual(t, verdict.Ran.String(), told)
				}
			})
		}
	}
}
