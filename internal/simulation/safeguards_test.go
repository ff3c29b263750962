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

// seedsUntilFound is the number of seeds within which a check must detect a disabled safeguard.
const seedsUntilFound = 100

// safeguardRow is a safeguard, disabled together with others that would hide that it is missing.
type safeguardRow struct {
	off []safeguard.Safeguard
	// check is the name of the check that must fail; the others are off.
	check string
	// emphasis lists the faults that provoke the failure.
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
	// The bound on engines out of service would prevent a second order as well.
	{off: disabled(controlstate.OneOrderAtATime, authority.SafeguardOutOfServiceBound), check: "one order at a time", emphasis: kinds(FaultPauseEngine)},
	{off: disabled(controlstate.OneOrderAtATime, authority.SafeguardOutOfServiceBound, orders.OneOrder), check: "no conflicting orders", emphasis: kinds(FaultPauseEngine)},

	// Configuration and membership at the nodes.
	// Controllers never send an older revision, and nodes never apply one.
	{off: disabled(control.SafeguardRevisionOrder, gatewaystate.SafeguardOrderedRevisions), check: "revisions never revert"},
	{off: disabled(SafeguardConfirmation), check: "no work to the leaving", emphasis: kinds(FaultEngineLeaves, FaultIsolate)},

	// Responses to operators and callers.
	{off: disabled(controlstate.ResendDeduplication), check: "resends get the first answer"},
	{off: disabled(controlstate.ChangeNumberCheck), check: "one winner"},
	{off: disabled(controlstate.ClaimCheck), check: "at most once"},

	// The same safeguards, detected by the linearizability checker alone.
	{off: disabled(controlstate.ResendDeduplication), check: "linearizable"},
	{off: disabled(controlstate.ChangeNumberCheck), check: "linearizable"},
	{off: disabled(SafeguardDiskSync), check: "linearizable", emphasis: kinds(FaultCrashController)},
	// A leader that steps down without a quorum does not serve reads for long.
	{off: disabled(control.SafeguardLeaseRead, consensus.SafeguardQuorumCheck), check: "linearizable", emphasis: kinds(FaultCutPeers)},
}

func disabled(safeguards ...safeguard.Safeguard) []safeguard.Safeguard { return safeguards }

func kinds(emphasis ...FaultKind) []FaultKind { return emphasis }

// name returns the name of the row's subtest.
func (r safeguardRow) name() string {
	var names []string
	for _, each := range r.off {
		names = append(names, string(each))
	}
	return strings.Join(names, " and ") + ": " + r.check
}

// TestEveryCheckCanFail disables a safeguard in each row. The check for that safeguard must fail on its own within a
// bounded number of seeds, which shows that the check works.
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
