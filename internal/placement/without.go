package placement

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

// longEnough is a time that no request lives.
const longEnough = 1e6

// Without returns the parameters with some mechanisms left out.
func (p Parameters) Without(off mechanism.Set) Parameters {
	for name, leaveOut := range map[mechanism.Mechanism]func(){
		mechanism.HomeEngines:          func() { p.HomeTime = 0 },
		mechanism.KVFetch:              func() { p.LeastFetch = math.MaxInt },
		mechanism.TransferEvictionCost: func() { p.CopyHarm = 0 },
		mechanism.AwaitPrefill:         func() { p.LeastUnusable, p.MostWaits = math.MaxInt, 0 },
		mechanism.DirectPrefill:        func() { p.LongestDirect = -1 },
		mechanism.RefusalByWait:        func() { p.LongestWaitShare = longEnough },
		mechanism.RefusalBySlots:       func() { p.LongestSlotWait = longEnough },
		mechanism.RetryAfterSpread:     func() { p.ComeBackSpread = 0 },
		mechanism.ShortBeforeLong:      func() { p.ShortReading, p.LongReading = math.MaxInt, math.MaxInt },
		mechanism.ZoneAffinity:         func() { p.ZonePenalty, p.ZoneTime = 0, 0 },
		mechanism.WaitByPrefill:        func() { p.LeastWaitScale, p.MostWaitScale = 1, 1 },
		mechanism.StreamPauseCost:      func() { p.StreamHarm, p.PauseHarm, p.StreamTime = 0, 0, time.Nanosecond },
		mechanism.ResidualPrefill:      func() { p.ResidualShare = 0 },
		mechanism.Spills:               func() { p.SpillShare = longEnough },
	} {
		if !off.IsEnabled(name) {
			leaveOut()
		}
	}
	return p
}
