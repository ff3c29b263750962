package operatorclient

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// wholeConfirmation returns a controller's whole answer to a submission.
func wholeConfirmation(t *testing.T) halfhead.Answer {
	t.Helper()
	body, err := proto.Marshal(&v1.ApplyResponse{Outcome: v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, Revision: 9, Differences: []*v1.Difference{{}, {}}})
	require.NoError(t, err)
	return halfhead.Answer{Headers: "Content-Type: application/proto\r\n", Body: string(body)}
}

func startAnswering(t *testing.T, text string) *halfhead.Server {
	t.Helper()
	server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return halfhead.Reply{Pieces: []string{text}} })
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// Guards against an answer of a controller that is none by the grammar of HTTP/1.1, and that is taken for a confirmation.
func TestBrokenAnswerIsNoConfirmation(t *testing.T) {
	t.Parallel()
	answer := wholeConfirmation(t)
	for _, way := range append(brokenanswer.Heads(answer), brokenanswer.Bodies(answer)...) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			broken := startAnswering(t, way.Text)
			_, sound := startController(t, succeed)
			applied, err := newClient(t, testTimeout, broken.Address(), sound).Apply(t.Context(), &v1.ApplyRequest{})
			require.NoError(t, err)
			require.EqualValues(t, 7, applied.GetRevision())
			require.NotZero(t, broken.Requests())
		})
	}
}

// Guards against sound confirmations that are refused since few servers send the like.
func TestUnusualAnswerIsAConfirmation(t *testing.T) {
	t.Parallel()
	for _, unusual := range brokenanswer.UnusualAnswers(wholeConfirmation(t)) {
		if unusual.Status != http.StatusOK {
			continue
		}
		t.Run(unusual.Name, func(t *testing.T) {
			t.Parallel()
			applied, err := newClient(t, testTimeout, startAnswering(t, unusual.Text).Address()).Apply(t.Context(), &v1.ApplyRequest{})
			require.NoError(t, err)
			require.EqualValues(t, 9, applied.GetRevision())
		})
	}
}
