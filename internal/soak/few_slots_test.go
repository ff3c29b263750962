package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSeedsCoverBothModes guards against a build to begin with, or a way to use slots, that no run of consecutive seeds
// combines with the other.
func TestSeedsCoverBothModes(t *testing.T) {
	type mode struct{ beginsWithOther, sharesSlots bool }
	seen := map[mode]bool{}
	for seed := range uint64(4) {
		run := site{options: Options{Seed: seed + 100, Pressure: true, OtherProgram: "other"}}
		seen[mode{run.startsOnOtherBuild(), run.options.sharesSlots()}] = true
	}
	require.Len(t, seen, 4)
}

// TestFewerSlotsThanRelays guards against a service with few slots that has as many slots as there are relays, or none.
func TestFewerSlotsThanRelays(t *testing.T) {
	for relays := MinPressureRelays; relays < 300; relays++ {
		total := fewReplicas * Options{Relays: relays}.fewSlots()
		require.Positive(t, total)
		require.Less(t, total, relays)
	}
}

// TestBoundsOnlyWhereSlotsAreShared guards against runs that require what only shared slots can keep.
func TestBoundsOnlyWhereSlotsAreShared(t *testing.T) {
	for seed := range uint64(8) {
		options := Options{Seed: seed, Pressure: true, CheckReturns: true}
		require.Equal(t, options.sharesSlots(), options.bounds().ReturnShare > 0)
		options.CheckReturns = false
		require.Zero(t, options.bounds().ReturnShare)
		require.Zero(t, options.bounds().TenantShare)
	}
}
