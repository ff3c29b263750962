package scale

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// controlBytesPerSecond is the users' bound on the control traffic of a node.
	controlBytesPerSecond = 27_000
	testPatience          = 4 * time.Minute
)

func smallPlan() Plan {
	return Plan{
		Nodes: 6, Replicas: 12, Tenants: 50, Models: 2, Zones: 3, Regions: 3, Controllers: 3, Standbys: 1,
		ZoneLatency: time.Millisecond, RegionLatency: 2 * time.Millisecond, Seed: 1,
	}
}

// startFleet starts a fleet inside this process with its declarations in force.
func startFleet(t *testing.T) (*Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testPatience)
	t.Cleanup(cancel)
	fleet, err := Start(Options{Plan: smallPlan(), Directory: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	require.NoError(t, fleet.Declare(ctx))
	return fleet, ctx
}

func TestFleetMeasuresEveryRoleWithinBounds(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t)
	running, stop := context.WithCancel(ctx)
	defer stop()
	traffic := fleet.StartTraffic(running, TrafficOptions{RequestsPerSecond: 60, ClaimedShare: 0.2, Duration: 100 * time.Millisecond})
	require.Eventually(t, func() bool { return traffic.Ended.Load() > 20 && traffic.Claimed.Load() > 2 }, testPatience, time.Millisecond)
	measured, err := fleet.Measure(ctx, 1500*time.Millisecond, traffic)
	require.NoError(t, err)

	gateways := measured.Role(RoleGateway)
	require.Equal(t, len(fleet.Nodes), gateways.Count)
	require.Positive(t, gateways.Received)
	require.Positive(t, gateways.Sent)
	require.Less(t, gateways.Largest, float64(controlBytesPerSecond))
	require.Equal(t, 2, measured.Role(RoleVoter).Count)
	require.Equal(t, 1, measured.Role(RoleStandby).Count)
	require.Positive(t, measured.Duty(RoleLeader, "call Report").Messages)
	require.Positive(t, measured.Duty(RoleLeader, "engine polls").Messages)
	// Heartbeats and reports are one a second for each node, whatever else happens.
	nodes := float64(len(fleet.Nodes))
	require.LessOrEqual(t, measured.Duty(RoleLeader, "call Report").Messages*measured.Seconds, nodes*(measured.Seconds+1))
	spread, err := fleet.Changes(ctx, "burst", 0, 4, 0)
	require.NoError(t, err)
	require.Zero(t, spread.Missing)
	require.Equal(t, 4, spread.Changes)
}

func TestCutRegionMissesChangesUntilItHeals(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t)
	const cutRegion = 2
	require.NoError(t, fleet.CutRegion(cutRegion))
	change, err := fleet.Change(ctx, 0)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(fleet.Missing(change.Revision)) == len(fleet.NodesIn(cutRegion)) }, testPatience, time.Millisecond)
	for _, node := range fleet.Missing(change.Revision) {
		require.Equal(t, cutRegion, node.Zone, "only the nodes that were cut miss the change")
	}
	require.NoError(t, fleet.Heal())
	require.NoError(t, fleet.WaitRevision(ctx, change.Revision))
}

func TestEnginesAndLeaderComeBack(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t)
	names := fleet.EnginesIn(1)
	require.NotEmpty(t, names)
	require.NoError(t, fleet.StopEngines(names...))
	require.NoError(t, fleet.StartEngines(names...))
	leader, err := fleet.KillLeader(ctx)
	require.NoError(t, err)
	require.NoError(t, fleet.StartController(leader))
	change, err := fleet.Change(ctx, 1)
	require.NoError(t, err)
	fleet.Nodes[0].Stop()
	require.Zero(t, fleet.Nodes[0].Revision())
	require.NoError(t, fleet.Nodes[0].Start())
	require.NoError(t, fleet.WaitRevision(ctx, change.Revision))
}
