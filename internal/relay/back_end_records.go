package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// resizeCaches applies the KV cache sizes of the configuration to the engines, which may have been listed before it
// arrived.
func (f *fleetState) resizeCaches(next *view) {
	for service, backEnds := range next.byService {
		for _, engine := range backEnds {
			engine.cache.resize(placement.PrefixCacheCapacity(engine.Stage, cacheTokens(next, service)))
		}
	}
}

// applyListing applies a list of back ends to the next view.
func (f *fleetState) applyListing(listed []serving.BackEnd, next *view) {
	records := make(map[string]*backEnd, len(listed))
	next.byService = map[string][]*backEnd{}
	next.byHash, next.byIncarnation = map[uint64]*backEnd{}, map[uint64]*backEnd{}
	for _, entry := range listed {
		current := f.records[entry.ID]
		entry.Software = f.knownSoftware(entry, current)
		if current == nil || !sameEntry(current.BackEnd, entry) {
			current = f.replaceRecord(current, entry, next)
		}
		records[entry.ID] = current
		next.byService[entry.Service] = append(next.byService[entry.Service], current)
		next.byHash[current.hash], next.byIncarnation[current.incarnationHash] = current, current
	}
	var gone []*backEnd
	for id, former := range f.records {
		if records[id] == nil {
			former.pool.Close()
			gone = append(gone, former)
		}
	}
	f.relay.reportReplaced(gone, records)
	f.closedBackEnds = newlyClosed(f.records, records)
	f.records = records
	f.signals.RemoveUnlisted(f.relay.clock.now(), func(identity string) bool { return records[identity] != nil })
	f.relay.event(events.ListingApplied).Uint64("version", next.listingVersion).Int("back_ends", len(listed)).Send()
	f.relay.notices.table.retain(next.byHash)
	f.relay.prefillSpeed.retain(next.byHash)
	f.relay.speeds.Retain(func(engine uint64) bool { return next.byHash[engine] != nil })
	next.isListed, next.listedAt = true, f.relay.clock.now()
	f.relay.owners.setView(next)
	f.relay.origins.ApplyListing(listedByService(next.byService))
}

// newlyClosed returns the former records of back ends that accept no more work since the new list.
func newlyClosed(former, present map[string]*backEnd) []*backEnd {
	var closed []*backEnd
	for id, backEnd := range former {
		if next := present[id]; next != nil && (next.Leaving || next.Changing) && !backEnd.Leaving && !backEnd.Changing {
			closed = append(closed, backEnd)
		}
	}
	return closed
}

// migrateRuns migrates the runs at newly closed back ends. It is called once the view contains the engines to which the runs
// may be migrated.
func (f *fleetState) migrateRuns() {
	if f.relay.mechanisms.IsEnabled(mechanism.RunMigration) {
		for _, closed := range f.closedBackEnds {
			closed.migrateRuns()
		}
	}
	f.closedBackEnds = nil
}

// replaceRecord creates the record of a back end whose entry in the list is new or has changed. It keeps the signals, cache
// and avoidance time of the former record, which is nil for a new entry.
func (f *fleetState) replaceRecord(former *backEnd, entry serving.BackEnd, view *view) *backEnd {
	record := newBackEnd(entry, cacheTokens(view, entry.Service))
	record.signals = f.signals.SignalsOf(entry.ID)
	if former == nil {
		return record
	}
	now := f.relay.clock.now()
	record.load.avoidUntil = former.currentLoad(0).avoidUntil
	record.cache = former.cache
	record.changingSince, record.listedStartedAtMs = former.changingSince, former.listedStartedAtMs
	if entry.Changing && !former.Changing {
		record.changingSince = now
	}
	if former.Stage != entry.Stage {
		record.cache.resize(placement.PrefixCacheCapacity(entry.Stage, cacheTokens(view, entry.Service)))
		record.avoidUntil(unavailableSince(former, now) + roleChangeDuration(view, entry.Service))
	}
	former.pool.Close()
	return record
}

// unavailableSince returns when an engine whose stage has changed became unavailable: when it was marked as changing, or
// now if it was never marked.
func unavailableSince(former *backEnd, now time.Duration) time.Duration {
	if former.Changing {
		return former.changingSince
	}
	return now
}

// roleChangeDuration returns how long an engine of the service is unavailable when its stage changes.
func roleChangeDuration(view *view, service string) time.Duration {
	if engine := view.engine(service); engine != nil {
		return engine.RoleChangeTime
	}
	return 0
}

// defaultCacheTokens is the size of an engine's KV cache until the configuration is known.
const defaultCacheTokens = 400_000

// cacheTokens returns the KV cache size of a service's engines, in tokens.
func cacheTokens(view *view, service string) int {
	if engine := view.engine(service); engine != nil && engine.CacheTokens > 0 {
		return engine.CacheTokens
	}
	return defaultCacheTokens
}

func sameEntry(a, b serving.BackEnd) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Leaving == b.Leaving && a.Changing == b.Changing && a.Stage == b.Stage && a.Slots == b.Slots && a.Software == b.Software
}
