package stageplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines that have just begun to serve take the stages that their group lacks, at once and under
// load, and none that serves for longer is moved for them.
func TestFreshEnginesTakeWhatTheirGroupLacks(t *testing.T) {
	plan := New(config())
	engines := fleet(30, 18) // three groups, each with six that read and four that generate
	work := Work{Prefill: 6, Decode: 4, Known: true}
	require.Empty(t, plan.Next(0, engines, work))
	for index := range engines {
		if engines[index].Group == "z1" {
			engines[index].Stage, engines[index].JustStarted = StageDecode, true
		}
	}
	changes := plan.Next(time.Second, engines, work)
	require.Len(t, changes, 6)
	for _, change := range changes {
		require.Equal(t, StagePrefill, change.Stage)
	}
	apply(engines, changes)
	require.Equal(t, 18, countPrefill(engines))
	require.Empty(t, plan.Next(2*time.Second, engines, work))
}

// A small lack is borne: an engine that changes is away for seconds.
func TestASmallLackIsBorne(t *testing.T) {
	plan := New(config())
	engines := fleet(30, 18)
	for index := range engines {
		if engines[index].Group == "z1" && index < 6 {
			engines[index].Stage, engines[index].JustStarted = StageDecode, true
		}
	}
	require.Empty(t, plan.placeFresh(engines))
}

func TestFreshEnginesThatAreOrderedAreLeft(t *testing.T) {
	plan := New(config())
	engines := fleet(12, 6)
	for index := range engines {
		engines[index].JustStarted, engines[index].Busy = index >= 9, index >= 9
	}
	require.Empty(t, plan.placeFresh(engines))
}

// Without engines that serve for longer the prior share holds.
func TestAllFreshEnginesFollowThePrior(t *testing.T) {
	plan := New(config())
	engines := fleet(12, 0)
	for index := range engines {
		engines[index].JustStarted = true
	}
	apply(engines, plan.placeFresh(engines))
	require.Equal(t, 9, countPrefill(engines), "three of four in each group")
}
