package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// resizeCaches takes the engines' memory from the configuration in force: engines may be
// listed before it is known.
func (k *knowledge) resizeCaches(next *view) {
	for service, backEnds := range next.byService {
		for _, engine := range backEnds {
			engine.cache.resize(placement.PrefixCacheCapacity(engine.Stage, cacheTokens(next, service)))
		}
	}
}

// takeBackEnds puts a reading of the list in force.
func (k *knowledge) takeBackEnds(listed []serving.BackEnd, next *view) {
	known := make(map[string]*backEnd, len(listed))
	next.byService = map[string][]*backEnd{}
	next.byHash, next.byStart = map[uint64]*backEnd{}, map[uint64]*backEnd{}
	for _, entry := range listed {
		current := k.known[entry.ID]
		if current == nil || !sameEntry(current.BackEnd, entry) {
			current = k.replace(current, entry, next)
		}
		known[entry.ID] = current
		next.byService[entry.Service] = append(next.byService[entry.Service], current)
		next.byHash[current.hash], next.byStart[current.startHash] = current, current
	}
	var gone []*backEnd
	for id, former := range k.known {
		if known[id] == nil {
			former.pool.Close()
			gone = append(gone, former)
		}
	}
	k.relay.noteReplaced(gone, known)
	k.closed = closedSince(k.known, known)
	k.known = known
	k.signals.RemoveUnlisted(k.relay.clock.now(), func(identity string) bool { return known[identity] != nil })
	k.relay.event(events.ListingApplied).Uint64("version", next.listingVersion).Int("back_ends", len(listed)).Send()
	k.relay.notices.table.keep(next.byHash)
	k.relay.pace.keep(next.byHash)
	next.listed, next.listedAt = true, k.relay.clock.now()
	k.relay.owners.setView(next)
}

// closedSince returns the former records of back ends that take no more work since then.
func closedSince(former, present map[string]*backEnd) []*backEnd {
	var closed []*backEnd
	for id, backEnd := range former {
		if next := present[id]; next != nil && (next.Leaving || next.Changing) && !backEnd.Leaving && !backEnd.Changing {
			closed = append(closed, backEnd)
		}
	}
	return closed
}

// moveRuns moves the runs at back ends that were closed, now that the view shows where to.
func (k *knowledge) moveRuns() {
	if k.relay.without.IsEnabled(mechanism.RunMigration) {
		for _, closed := range k.closed {
			closed.moveRuns()
		}
	}
	k.closed = nil
}

// replace makes the record of a back end whose entry is new or has changed.
func (k *knowledge) replace(former *backEnd, entry serving.BackEnd, view *view) *backEnd {
	replaced := newBackEnd(entry, cacheTokens(view, entry.Service))
	replaced.signals = k.signals.SignalsOf(entry.ID)
	if former == nil {
		return replaced
	}
	now := k.relay.clock.now()
	replaced.load.avoidUntil = former.look(0).avoidUntil
	replaced.cache = former.cache
	replaced.changingSince, replaced.toldBorn = former.changingSince, former.toldBorn
	if entry.Changing && !former.Changing {
		replaced.changingSince = now
	}
	if former.Stage != entry.Stage {
		replaced.cache.resize(placement.PrefixCacheCapacity(entry.Stage, cacheTokens(view, entry.Service)))
		replaced.avoid(awaySince(former, now) + roleChange(view, entry.Service))
	}
	former.pool.Close()
	return replaced
}

// awaySince is when an engine whose stage has changed went away: when it was marked, or, where it
// was not, now that the list shows the new stage.
func awaySince(former *backEnd, now time.Duration) time.Duration {
	if former.Changing {
		return former.changingSince
	}
	return now
}

// roleChange is how long an engine of the service is away when its stage changes.
func roleChange(view *view, service string) time.Duration {
	if engine := view.engine(service); engine != nil {
		return engine.RoleChangeTime
	}
	return 0
}

// defaultCacheTokens is an engine's memory until the configuration tells it.
const defaultCacheTokens = 400_000

// cacheTokens is the memory of a service's engines.
func cacheTokens(view *view, service string) int {
	if engine := view.engine(service); engine != nil && engine.CacheTokens > 0 {
		return engine.CacheTokens
	}
	return defaultCacheTokens
}

func sameEntry(a, b serving.BackEnd) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Leaving == b.Leaving && a.Changing == b.Changing && a.Stage == b.Stage && a.Slots == b.Slots
}
