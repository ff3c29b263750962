package upstream

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var wholeAnswer = halfhead.Answer{Headers: enginecontract.HeaderExchange + ": ID\r\n", Body: "whole answer"}

// Guards against an answer that is none by the grammar of HTTP/1.1, and that a caller gets as an answer: on a fresh connection, on a
// kept one, in pieces, and after an informational head.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, way := range brokenanswer.Heads(wholeAnswer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			for name, pieces := range map[string][]string{
				"at once": {way.Text}, "in pieces": strings.SplitAfter(way.Text, ":"), "after an informational head": {informational, way.Text},
			} {
				server := startServer(t, func(number int) halfhead.Reply {
					if number == 2 {
						return halfhead.Reply{Pieces: []string{wholeAnswer.Whole()}, End: halfhead.Keep}
					}
					return halfhead.Reply{Pieces: append([]string(nil), pieces...)}
				})
				client := newTestClient(t)
				requireBroken := func() {
					_, _, failure, _ := get(client, http.MethodPost, server.Address())
					require.NotNil(t, failure, name)
					require.Equal(t, verdict.MayHaveRun, failure.Verdict)
					require.ErrorIs(t, failure, grammar.ErrMalformed)
					require.Equal(t, way.Rule, grammar.BrokenRule(failure), name)
				}
				requireBroken()
				body, _, failure, err := get(client, http.MethodPost, server.Address())
				require.Nil(t, failure)
				require.NoError(t, err)
				require.Equal(t, wholeAnswer.Body, body)
				requireBroken()
				require.Equal(t, 3, server.Requests())
			}
		})
	}
}

// Guards against a body that is none by the grammar, and that a caller gets as a whole one.
func TestBrokenBodyIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, way := range brokenanswer.Bodies(wholeAnswer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(int) halfhead.Reply { return halfhead.Reply{Pieces: []string{way.Text}} })
			_, _, failure, err := get(newTestClient(t), http.MethodPost, server.Address())
			require.Nil(t, failure)
			require.ErrorIs(t, err, ErrTruncated)
			require.Equal(t, way.Rule, grammar.BrokenRule(err))
		})
	}
}

// Guards against sound answers that are refused since few back ends send the like.
func TestUnusualAnswersAreAnswers(t *testing.T) {
	t.Parallel()
	for _, unusual := range brokenanswer.UnusualAnswers(wholeAnswer) {
		t.Run(unusual.Name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(int) halfhead.Reply { return halfhead.Reply{Pieces: []string{unusual.Text}} })
			body, status, failure, err := get(newTestClient(t), http.MethodPost, server.Address())
			require.Nil(t, failure)
			require.NoError(t, err)
			require.Equal(t, unusual.Status, status)
			require.Equal(t, wholeAnswer.Body, body)
		})
	}
}
