package experiment

import (
	"runtime"
	"testing"
	"weak"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// TestResultDoesNotRetainTheWorld guards against results that reference their recorder: a
// suite would then keep every simulated fleet in memory.
func TestResultDoesNotRetainTheWorld(t *testing.T) {
	result, recorded := finishedRecorder()
	runtime.GC()
	require.Nil(t, recorded.Value(), "the result retains its recorder and thus the world")
	require.NotNil(t, result)
}

//go:noinline
func finishedRecorder() (*Run, weak.Pointer[recorder]) {
	recorder := newRecorder(&world{scenario: &scenario.Scenario{}})
	return recorder.result(), weak.Make(recorder)
}
