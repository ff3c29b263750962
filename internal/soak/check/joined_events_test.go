package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Guards against joined events that pass because the stream breaks off later.
func TestJoinedEventsAreAFault(t *testing.T) {
	joined := "id: 1\ndata: a part\nid: 2\ndata: a part\n\n"
	for _, isWhole := range []bool{true, false} {
		_, fault := streamFault(history.Sending{Body: joined, Whole: isWhole}, history.Route{Stream: true}, false)
		require.NotEmpty(t, fault)
	}
	_, fault := streamFault(history.Sending{Body: "id: 1\ndata: a part\n"}, history.Route{Stream: true}, false)
	require.Empty(t, fault, "the stream breaks off within its first event")
}
