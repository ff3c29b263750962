package scale

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/pprof/profile"
	"github.com/stretchr/testify/require"
)

// TestProfilePartsFollowTheStacks gives each sample to the first rule with a function
// anywhere in its stack.
func TestProfilePartsFollowTheStacks(t *testing.T) {
	parsed := &profile.Profile{SampleType: []*profile.ValueType{{Type: "samples", Unit: "count"}, {Type: "cpu", Unit: "nanoseconds"}}}
	add := func(milliseconds int64, names ...string) {
		sample := &profile.Sample{Value: []int64{1, milliseconds * int64(time.Millisecond)}}
		for _, name := range names {
			id := uint64(len(parsed.Function) + 1)
			function := &profile.Function{ID: id, Name: name}
			location := &profile.Location{ID: id, Line: []profile.Line{{Function: function}}}
			parsed.Function = append(parsed.Function, function)
			parsed.Location = append(parsed.Location, location)
			sample.Location = append(sample.Location, location)
		}
		parsed.Sample = append(parsed.Sample, sample)
	}
	add(100, "internal/shares.split", "internal/control.(*Core).takeReport", "internal/controller.(*loop).step")
	add(50, "runtime.mallocgc", "internal/control.(*Core).takeReport")
	add(200, "syscall.Syscall", "internal/controller.(*syncer).run")
	add(30, "main.main")
	var encoded bytes.Buffer
	require.NoError(t, parsed.Write(&encoded))
	parts, err := profileParts(&encoded, controllerParts, time.Second)
	require.NoError(t, err)
	require.Len(t, parts, 3)
	require.InDelta(t, 0.15, parts["core: report and shares"], 1e-9)
	require.InDelta(t, 0.2, parts["log on disk"], 1e-9)
	require.InDelta(t, 0.03, parts[otherPart], 1e-9)
	_, err = profileParts(bytes.NewReader([]byte("no profile")), controllerParts, time.Second)
	require.Error(t, err)
}
