package property

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// seedsUntilFound is the number of seeds within which a disabled safeguard must be detected.
const seedsUntilFound = 12

func TestEachSafeguardIsNeeded(t *testing.T) {
	rows := []struct {
		off    safeguard.Safeguard
		breach Breach
		// only is the fault of stand-ins against which the safeguard protects; empty for all of them.
		only fault.Kind
		// likely is the fault of processes and links against which it protects most.
		likely string
	}{
		{upstream.EchoCheck, MixedAnswer, fault.WrongEcho, ""},
		{upstream.SentMayHaveRun, RunTwice, fault.LoseAnswer, ""},
		{stream.EventEchoCheck, MixedAnswer, fault.Crossed, ""},
		{stream.OffsetCheck, MixedAnswer, fault.Duplicate, ""},
		{stream.CompletionCheck, ShortAnswer, fault.EarlyDone, ""},
		{claims.GrantRequired, RunTwice, fault.LoseAnswer, controlLost},
		{claims.ReleaseOnlyNotRun, RunTwice, fault.LoseAnswer, ""},
		{controlstate.ClaimCheck, RunTwice, "", ""},
		{gateway.ClaimBeforeRun, RunTwice, "", ""},
		{gateway.SaltPerTenant, SharedCache, "", ""},
		{gateway.RetryOnlyNotRun, RunTwice, fault.LoseAnswer, ""},
	}
	for _, row := range rows {
		t.Run(string(row.off), func(t *testing.T) {
			findBreach := func() (uint64, string) {
				for seed := range uint64(seedsUntilFound) {
					report := run(t, Options{
						Seed: seed + 1, Requests: *requests, Counts: DefaultCounts(),
						OnlyFault: row.only, LikelyFault: row.likely, DisabledSafeguards: safeguard.Without(row.off),
					})
					at := slices.IndexFunc(report.Violations, func(v Violation) bool { return v.Breach == row.breach })
					if at >= 0 {
						return seed + 1, report.Violations[at].Detail
					}
				}
				return 0, ""
			}
			seed, detail := findBreach()
			require.NotZero(t, seed, "no run shows that the safeguard is needed")
			t.Logf("seed %d: %s: %s", seed, row.breach, detail)
		})
	}
}
