package relay

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// versionReadCost is the cost of a read of the platform's list for its software versions, in reads without a leader: the leader
// reads the list at the same time.
const versionReadCost = 4

// listedVersions completes lists whose leader is of an earlier format, which names no software versions: it reads them from the
// platform's list. Only the goroutine that applies lists uses it.
type listedVersions struct {
	// byIncarnation holds the versions of the last read, by the identities of incarnations, and byPlace by those of replicas and their
	// addresses, for leaders of the first format, which name no incarnations.
	byIncarnation map[string]string
	byPlace       map[replicaPlace]string
	schedule      listing.DirectRead
	isReading     bool
	// results receives the back ends of a read; nil after a failed one.
	results chan []serving.BackEnd
}

// replicaPlace is a replica at one address.
type replicaPlace struct{ replica, address string }

func newListedVersions() listedVersions {
	return listedVersions{results: make(chan []serving.BackEnd, 1)}
}

// completeVersions applies the versions that were read, and reads them in the background if some are unknown and a read is due.
func (f *fleetState) completeVersions() {
	select {
	case listed := <-f.versions.results:
		f.versions.isReading = false
		f.applyReadVersions(listed)
	default:
	}
	relays := int(f.relay.relayCount.Load())
	if f.versions.isReading || relays == 0 || f.relay.view.Load().table == nil || !f.lacksVersions() {
		return
	}
	calls := versionReadCost * relays * max(f.listingCalls, 1)
	if !f.versions.schedule.IsDue(f.relay.clock.now(), 0, true, calls, f.relay.draw) {
		return
	}
	f.versions.isReading = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listingTimeout)
		defer cancel()
		read, err := f.readListing(ctx, f.platformClient, 0)
		if err != nil {
			read.BackEnds = nil // the next read tries again
		}
		f.versions.results <- read.BackEnds
	}()
}

// lacksVersions reports whether the version of a back end that accepts work is unknown.
func (f *fleetState) lacksVersions() bool {
	for _, record := range f.records {
		if record.version == streamorigin.Unknown && !record.Leaving {
			return true
		}
	}
	return false
}

// applyReadVersions applies the versions of a list that this relay has read to the list in force.
func (f *fleetState) applyReadVersions(listed []serving.BackEnd) {
	if len(listed) == 0 {
		return
	}
	f.versions.byIncarnation = make(map[string]string, len(listed))
	f.versions.byPlace = make(map[replicaPlace]string, len(listed))
	for _, entry := range listed {
		f.versions.byIncarnation[entry.ID] = entry.Software
		f.versions.byPlace[replicaPlace{entry.ExpectedID(), entry.Address}] = entry.Software
	}
	if !f.lacksVersions() {
		return
	}
	next := *f.relay.view.Load()
	current := make([]serving.BackEnd, 0, len(f.records))
	for _, record := range f.records {
		current = append(current, record.BackEnd)
	}
	slices.SortFunc(current, func(a, b serving.BackEnd) int { return strings.Compare(a.ID, b.ID) })
	f.applyListing(current, &next)
	f.relay.setView(&next)
}

// knownSoftware returns the software version of a listed incarnation; empty if it is unknown. The version of an incarnation does
// not change.
func (f *fleetState) knownSoftware(entry serving.BackEnd, current *backEnd) string {
	switch {
	case entry.Software != "":
		return entry.Software
	case current != nil && current.Software != "":
		return current.Software
	case entry.StartedAtMs == 0:
		return f.versions.byPlace[replicaPlace{entry.ExpectedID(), entry.Address}]
	default:
		return f.versions.byIncarnation[entry.ID]
	}
}

// listedByService returns the versions of the back ends of each service. Prefill engines count too: they may become decoding ones.
func listedByService(byService map[string][]*backEnd) map[string]map[streamorigin.Version]bool {
	listed := make(map[string]map[streamorigin.Version]bool, len(byService))
	for service, backEnds := range byService {
		versions := map[streamorigin.Version]bool{}
		for _, backEnd := range backEnds {
			versions[backEnd.version] = true
		}
		listed[service] = versions
	}
	return listed
}

// streamLifetime returns how long a stream of a service can last, with the attempts of its client.
func (r *Relay) streamLifetime(service string) time.Duration {
	table := r.view.Load().table
	if table == nil {
		return streamorigin.MaxLifetime
	}
	return streamorigin.LifetimeOf(table.LongestTimeout(service))
}
