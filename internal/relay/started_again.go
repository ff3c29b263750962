package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// noteBorn takes the time of the start that has answered for a back end. A later one than the list shows is another
// start under the same identity: it holds nothing of what was read before, and the listed one has ended. Its own
// record comes with the list, a second later at most.
func (r *Relay) noteBorn(backEnd *backEnd, born int64) {
	if backEnd.StartedAtMs == 0 || born <= backEnd.StartedAtMs || !backEnd.startedAgain.CompareAndSwap(false, true) {
		return
	}
	r.event(events.BackEndRestarted).Str("back_end", backEnd.ID).Int64("born", born).Send()
	backEnd.cache.clear(placement.PrefixCacheCapacity(backEnd.Stage, cacheTokens(r.view.Load(), backEnd.Service)))
	backEnd.pool.CloseIdle()
	r.guard.RecordCrash(backEnd.ID)
}
