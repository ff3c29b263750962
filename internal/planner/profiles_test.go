package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// The planner's profile equals that of the engine model.
func TestProfileMatchesEngineModel(t *testing.T) {
	engine := enginemodel.DefaultProfile()
	assumed := planner.ProfileOf(engine.Name)
	require.Equal(t, engine.PrefillTokensPerSecond, assumed.PrefillTokensPerSecond)
	require.Equal(t, engine.StepBase, assumed.StepBase)
	require.Equal(t, engine.StepPerSequence, assumed.StepPerSequence)
	require.Equal(t, engine.StepPerContextToken, assumed.StepPerContextToken)
	require.Equal(t, engine.MaxBatch, assumed.MaxBatch)
	require.Equal(t, engine.PrefillChunk[enginecontract.RolePrefill], assumed.PrefillChunk)
	require.Equal(t, engine.PrefillChunk[enginecontract.RoleMixed], assumed.MixedChunk)
	require.Equal(t, engine.RoleChange, assumed.RoleChange)
}
