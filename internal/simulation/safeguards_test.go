package simulation

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/authority"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

// seedsUntilFound is within how many seeds a missing safeguard has to be noticed.
const seedsUntilFound = 100

// safeguardRow is one safeguard, with those that would hide that it is missing.
type safeguardRow struct {
	off []safeguard.Safeguard
	// check is the check that has to notice; only it is in force.
	check string
	// emphasis are the faults that it takes.
	emphasis []FaultKind
}

var safeguardRows = []safeguardRow{
	// The replicated log.
	{off: disabled(consensus.SafeguardSyncBeforeAnswer), check: "durable on a quorum", emphasis: kinds(FaultCrashController, FaultSlowDisk)},
	{off: disabled(consensus.SafeguardLogComparison), check: "committed entries stay", emphasis: kinds(FaultCrashController, FaultIsolate)},
	{off: disabled(consensus.SafeguardLearnerCatchUp), check: "caught up before voting", emphasis: kinds(FaultReplaceDisk, FaultSlowDisk)},
	{off: disabled(consensus.SafeguardConflictCheck), check: "agreement", emphasis: kinds(FaultCrashController, FaultIsolate)},
	{off: disabled(consensus.SafeguardLeaseWait), check: "one leader at a time", emphasis: kinds(FaultCutLink, FaultLull)},
	{off: disabled(consensus.SafeguardAllRestarted), check: "one leader at a time", emphasis: kinds(FaultRestartTogether)},
	{off: disabled(consensus.SafeguardQuorumCheck), check: "no leader without a quorum"},
	{off: disabled(consensus.SafeguardPreVote), check: "no term without a quorum"},
	{off: disabled(SafeguardDiskSync), check: "durable state", emphasis: kinds(FaultCrashController)},
	{off: disabled(SafeguardDiskIdentity), check: "durable state", emphasis: kinds(FaultReplaceDisk)},

	// Authority over engines.
	{off: disabled(authority.SafeguardCommitBeforeSend), check: "committed before sent"},
	{off: disabled(authority.SafeguardFence), check: "ended orders stay ended", emphasis: kinds(FaultStallOrder)},
	{off: disabled(authority.SafeguardOutOfServiceBound), check: "bounded engines out"},
	{off: disabled(orders.FenceCheck), check: "no order of the deposed", emphasis: kinds(FaultStallOrder)},
	{off: disabled(orders.DurableFence), check: "no order of the deposed", emphasis: kinds(FaultStallOrder, FaultCrashEngine)},
	{off: disabled(orders.DrainFirst), check: "no request is cut"},
	// The bound on engines out would keep a second order back as well.
	{off: disabled(controlstate.OneOrderAtATime, authority.SafeguardOutOfServiceBound), check: "one order at a time", emphasis: kinds(FaultPauseEngine)},
	{off: disabled(controlstate.OneOrderAtATime, authority.SafeguardOutOfServiceBound, orders.OneOrder), check: "no conflicting orders", emphasis: kinds(FaultPauseEngine)},

	// Configuration and membership at the nodes.
	// Controllers never send what is older, and nodes never take it.
	{off: disabled(control.SafeguardRevisionOrder, gatewaystate.SafeguardOrderedRevisions), check: "revisions never revert"},
	{off: disabled(SafeguardConfirmation), check: "no work to the leaving", emphasis: kinds(FaultEngineLeaves, FaultIsolate)},

	// What operators and callers are told.
	{off: disabled(controlstate.ResendDeduplication), check: "resends get the first answer"},
	{off: disabled(controlstate.ChangeNumberCheck), check: "one winner"},
	{off: disabled(controlstate.ClaimCheck), check: "at most once"},

	// The same, seen by the linearizability checker alone.
	{off: disabled(controlstate.ResendDeduplication), check: "linearizable"},
	{off: disabled(controlstate.ChangeNumberCheck), check: "linearizable"},
	{off: disabled(SafeguardDiskSync), check: "linearizable", emphasis: kinds(FaultCrashController)},
	// A leader that steps down without a quorum answers no one for long.
	{off: disabled(control.SafeguardLeaseRead, consensus.SafeguardQuorumCheck), check: "linearizable", emphasis: kinds(FaultCutPeers)},
}

func disabled(safeguards ...safeguard.Safeguard) []safeguard.Safeguard { return safeguards }

func kinds(emphasis ...FaultKind) []FaultKind { return emphasis }

// name names the row's test.
func (r safeguardRow) name() string {
	var names []string
	for _, each := range r.off {
		names = append(names, string(each))
	}
	return strings.Join(names, " and ") + ": " + r.check
}

// TestEveryCheckCanFail switches a safeguard off in each row: the check that it is
// for has to notice, alone, within a bounded number of seeds.
func TestEveryCheckCanFail(t *testing.T) {
	for _, row := range safeguardRows {
		t.Run(row.name(), func(t *testing.T) {
			t.Parallel()
			options := Options{Steps: 6000, Safeguards: safeguard.Without(row.off...), Emphasis: row.emphasis, OnlyCheck: row.check}
			for seed := range uint64(seedsUntilFound) {
				options.Seed = seed
				if result := Run(options); result.Violation != nil {
					t.Logf("seed %d: %v", seed, result.Violation)
					return
				}
			}
			require.Fail(t, "the simulator did not notice", "%d seeds", seedsUntilFound)
		})
	}
}
