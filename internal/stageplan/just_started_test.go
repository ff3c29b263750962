package stageplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines that have just started fill their group's shortfall at once and under load, and no other engine changes.
func TestJustStartedEnginesFillTheShortfall(t *testing.T) {
	plan := New(config())
	engines := fleet(30, 18) // three groups, each with six prefill and four decode engines
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

// A small shortfall causes no change, since an engine is unavailable for seconds during a change.
func TestSmallShortfallCausesNoChange(t *testing.T) {
	plan := New(config())
	engines := fleet(30, 18)
	for index := range engines {
		if engines[index].Group == "z1" && index < 6 {
			engines[index].Stage, engines[index].JustStarted = StageDecode, true
		}
	}
	require.Empty(t, plan.placeJustStarted(engines))
}

func TestBusyJustStartedEnginesGetNoOrder(t *testing.T) {
	plan := New(config())
	engines := fleet(12, 6)
	for index := range engines {
		engines[index].JustStarted, engines[index].Busy = index >= 9, index >= 9
	}
	require.Empty(t, plan.placeJustStarted(engines))
}

// If all engines have just started, the prior share applies.
func TestJustStartedFleetFollowsThePriorShare(t *testing.T) {
	plan := New(config())
	engines := fleet(12, 0)
	for index := range engines {
		engines[index].JustStarted = true
	}
	apply(engines, plan.placeJustStarted(engines))
	require.Equal(t, 9, countPrefill(engines), "three of four in each group")
}
