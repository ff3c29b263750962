package experiment

import (
	"runtime"
	"testing"
	"weak"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// TestResultKeepsNoWorld holds that a suite's results do not keep every emulated fleet
// in memory.
func TestResultKeepsNoWorld(t *testing.T) {
	result, recorded := finishedRecorder()
	runtime.GC()
	require.Nil(t, recorded.Value(), "the result keeps its recorder, and with it the world")
	require.NotNil(t, result)
}

//go:noinline
func finishedRecorder() (*Run, weak.Pointer[recorder]) {
	recorder := newRecorder(&world{scenario: &scenario.Scenario{}})
	return recorder.result(), weak.Make(recorder)
}
