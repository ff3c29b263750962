package operatorclient

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against an answer of a controller that stops within its head, or before the end of its body, and is taken for a confirmation.
func TestHalfHeadIsNoConfirmation(t *testing.T) {
	t.Parallel()
	for _, way := range wholeConfirmation(t).Ways() {
		for endName, end := range halfhead.Ends {
			t.Run(way.Name+"/"+endName, func(t *testing.T) {
				t.Parallel()
				broken, err := halfhead.Start(func(*http.Request) halfhead.Reply {
					return halfhead.Reply{Pieces: []string{way.Text}, End: end}
				})
				require.NoError(t, err)
				t.Cleanup(broken.Close)
				_, sound := startController(t, succeed)
				applied, err := newClient(t, testTimeout, broken.Address(), sound).Apply(t.Context(), &v1.ApplyRequest{})
				require.NoError(t, err)
				require.EqualValues(t, 7, applied.GetRevision())
				require.NotZero(t, broken.Requests())
			})
		}
	}
}
