package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against an answer that is none by the grammar of HTTP/1.1, and that a health check, a read of a cache or a read of the list of
// back ends uses.
func TestCallersTakeNoBrokenAnswers(t *testing.T) {
	t.Parallel()
	answer := halfhead.Answer{Headers: "Content-Type: application/json\r\n", Body: "{}"}
	for _, way := range append(brokenanswer.Heads(answer), brokenanswer.Bodies(answer)...) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return halfhead.Reply{Pieces: []string{way.Text}} })
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client := newCaller(checkedconn.NewTransport((&net.Dialer{}).DialContext, nil), time.Minute)
			t.Cleanup(client.CloseIdleConnections)
			received, err := client.Get("http://" + server.Address())
			if err == nil {
				_, err = io.Copy(io.Discard, received.Body)
				_ = received.Body.Close()
			}
			require.Equal(t, way.Rule, grammar.BrokenRule(err), "%v", err)
			require.Equal(t, 1, server.Requests())
		})
	}
}
