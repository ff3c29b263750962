package load

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// pageRequest is a request for a page whose expected content a test learns from a sound answer.
var pageRequest = request{method: http.MethodGet, path: "/lots/7", deadline: time.Minute}

// sendTo sends the request to a server that answers with a text.
func sendTo(t *testing.T, text string) Result {
	t.Helper()
	server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return halfhead.Reply{Pieces: []string{text}} })
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := newClient(Target{Gateways: []string{server.Address()}})
	t.Cleanup(client.http.CloseIdleConnections)
	result := client.send(pageRequest, time.Now(), io.Discard)
	require.NotZero(t, server.Requests())
	return result
}

// Guards against a load tool that counts an answer which is none as an answer: what callers got would go unseen.
func TestBrokenAnswersAreLost(t *testing.T) {
	t.Parallel()
	answer := halfhead.Answer{Headers: "Content-Type: text/plain\r\n", Body: page.Page(pageRequest.path)}
	require.Equal(t, Completed, sendTo(t, answer.Whole()).Outcome)
	for _, way := range brokenanswer.Heads(answer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			result := sendTo(t, way.Text)
			require.Equal(t, Lost, result.Outcome)
			require.Zero(t, result.Status)
		})
	}
	for _, way := range brokenanswer.Bodies(answer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			require.NotEqual(t, Completed, sendTo(t, way.Text).Outcome)
		})
	}
}

// Guards against sound answers that count as lost since few servers send the like.
func TestUnusualAnswersAreCounted(t *testing.T) {
	t.Parallel()
	for _, unusual := range brokenanswer.UnusualAnswers(halfhead.Answer{Headers: "Content-Type: text/plain\r\n", Body: page.Page(pageRequest.path)}) {
		if unusual.Status != http.StatusOK {
			continue
		}
		t.Run(unusual.Name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, Completed, sendTo(t, unusual.Text).Outcome)
		})
	}
}
