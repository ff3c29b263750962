package placement

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

// unlimitedShare, as a multiple of a route's target, is a time longer than any request may take.
const unlimitedShare = 1e6

// Without returns the parameters with the given mechanisms switched off.
func (p Parameters) Without(disabled mechanism.Set) Parameters {
	for name, disable := range map[mechanism.Mechanism]func(){
		mechanism.HomeEngines:          func() { p.HomePreference = 0 },
		mechanism.KVFetch:              func() { p.MinTransferTokens = math.MaxInt },
		mechanism.TransferEvictionCost: func() { p.TransferEvictionCost = 0 },
		mechanism.AwaitPrefill:         func() { p.MinPendingTokens, p.MaxPrefillWaits = math.MaxInt, 0 },
		mechanism.DirectPrefill:        func() { p.MaxDecodePrefill = -1 },
		mechanism.RefusalByWait:        func() { p.MaxPrefillDelayShare = unlimitedShare },
		mechanism.RefusalBySlots:       func() { p.MaxSlotDelayShare = unlimitedShare },
		mechanism.RetryAfterSpread:     func() { p.RetrySpread = 0 },
		mechanism.ShortBeforeLong:      func() { p.ShortPrefill, p.LongPrefill = math.MaxInt, math.MaxInt },
		mechanism.ZoneAffinity:         func() { p.ZonePenalty, p.ZoneCost = 0, 0 },
		mechanism.WaitByPrefill:        func() { p.MinDelayScale, p.MaxDelayScale = 1, 1 },
		mechanism.StreamPauseCost:      func() { p.StreamSlowdown, p.StreamPauseCost, p.StreamCost = 0, 0, time.Nanosecond },
		mechanism.ResidualPrefill:      func() { p.ResidualShare = 0 },
		mechanism.PausePrediction:      func() { p.BrokenPauseCost = 0 },
		mechanism.SlowRunMigration:     func() { p.MinMigrationEvents = math.MaxInt },
		mechanism.WorkBySpeed:          func() { p.OccupancyByFleet = false },
		mechanism.Spills:               func() { p.SpillShare = unlimitedShare },
	} {
		if !disabled.IsEnabled(name) {
			disable()
		}
	}
	return p
}
