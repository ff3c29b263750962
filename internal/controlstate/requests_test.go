package controlstate

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestRefusedCommandIsAuditedAndMayBeRetried records a refusal, a long one, and then the same command under the same
// request identity when it succeeds.
func TestRefusedCommandIsAuditedAndMayBeRetried(t *testing.T) {
	state := newTestState(t)
	record := func(answer, refusal string) Result {
		return state.run(&v1.Command{Body: &v1.Command_RecordRequest{RecordRequest: &v1.RecordRequest{
			Operator: "ana", RequestId: "r", Text: "drain engine e", Answer: answer, Refusal: refusal,
		}}})
	}
	require.NoError(t, record("", "the engine is busy").Err)
	require.NoError(t, record("", strings.Repeat("x", 2*MaximumTextBytes)).Err)
	first, err := state.FirstAnswer("ana", "r", "drain engine e")
	require.NoError(t, err)
	require.Nil(t, first, "a refusal is not stored as the answer to a later retry")
	require.Equal(t, "drained", record("drained", "").Answer)

	var outcomes []string
	for _, audited := range state.Audit() {
		require.Equal(t, "drain engine e", audited.Text)
		require.LessOrEqual(t, len(audited.Outcome), MaximumTextBytes)
		outcomes = append(outcomes, audited.Outcome)
	}
	require.Len(t, outcomes, 3)
	require.Equal(t, "refused: the engine is busy", outcomes[0])
	require.Equal(t, "done", outcomes[2])
}
