package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// checkIncarnation checks the start time of the incarnation that answered for a back end. A later one than the listed one
// belongs to a newer incarnation under the same identity: its cache is empty, and the listed incarnation has crashed. The
// newer incarnation gets its own record with the next list, a second later at most.
func (r *Relay) checkIncarnation(backEnd *backEnd, startedAtMs int64) {
	if backEnd.StartedAtMs == 0 || startedAtMs <= backEnd.StartedAtMs || !backEnd.isSuperseded.CompareAndSwap(false, true) {
		return
	}
	r.event(events.BackEndRestarted).Str("back_end", backEnd.ID).Int64("born", startedAtMs).Send()
	backEnd.cache.clear(placement.PrefixCacheCapacity(backEnd.Stage, cacheTokens(r.view.Load(), backEnd.Service)))
	backEnd.pool.CloseIdle()
	r.guard.RecordCrash(backEnd.ID)
}
