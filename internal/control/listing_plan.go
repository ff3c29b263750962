package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

const (
	// maximumListingCallsPerSecond limits the calls for pages of the list when every read is complete. All readers of
	// the list share its call rate. A list of up to 25 pages is read every half second, one of 50 every second.
	maximumListingCallsPerSecond = 50
	// fullListingInterval is the minimum time between complete reads while partial reads show enough back ends.
	// A new service further back in the list is found by the next complete read. Longer lists are read
	// less often, so that complete reads take at most fullListingCallsPerSecond calls a second.
	fullListingInterval       = 20 * time.Second
	fullListingCallsPerSecond = 5
	// partialListingMargin is the factor by which the partial read exceeds the required number of back ends, so
	// that one leaving back end does not cause a complete read.
	partialListingMargin = 1.25
	// minimumPartialGain is the factor by which a complete read must exceed a partial read in pages, so that partial reads are used.
	minimumPartialGain = 2
	// minimumRetainedShare is the share of the back ends of the last partial read that the next one must contain.
	// If it contains fewer, the list does not keep its order and partial reads cannot be used.
	minimumRetainedShare = 0.5
)

// listingPlan decides how much of the external list the leader reads. A list that keeps its order is read only as
// far as needed for the required back ends, so that the calls grow with the work and not with the number of back ends.
type listingPlan struct {
	// pages is the number of pages of a partial read, entries the number of back ends on those pages; 0 means that
	// all reads are complete.
	pages, entries int
	// fullReadAt is the time of the last complete read, fullReadCalls the number of its calls, and openByService
	// the number of back ends of each service that accepted new work at that time.
	fullReadAt    time.Duration
	fullReadCalls int
	openByService map[string]int
	// insufficient is true if the last partial reads showed fewer back ends of a service than relays need.
	insufficient bool
	// unordered is true if the list has turned out not to keep its order, so that all reads are complete.
	unordered bool
	// shownIDs are the identities in the last partial read.
	shownIDs map[string]bool
}

// readsPartially reports whether most reads are partial.
func (p *listingPlan) readsPartially() bool { return p.pages > 0 && !p.unordered }

// nextPages returns the number of pages to read now; 0 means all.
func (p *listingPlan) nextPages(now time.Duration) int {
	spacing := max(fullListingInterval, durationOfCalls(p.fullReadCalls, fullListingCallsPerSecond))
	if p.insufficient {
		spacing = durationOfCalls(p.fullReadCalls, maximumListingCallsPerSecond)
	}
	if !p.readsPartially() || now-p.fullReadAt >= spacing {
		return 0
	}
	return p.pages
}

// interval returns the time between the starts of two reads, which is at least base, the configured interval.
func (p *listingPlan) interval(base time.Duration) time.Duration {
	if p.readsPartially() {
		return base
	}
	return max(base, durationOfCalls(p.fullReadCalls, maximumListingCallsPerSecond))
}

// durationOfCalls returns the time that a number of calls takes at a rate of perSecond calls a second.
func durationOfCalls(calls, perSecond int) time.Duration {
	return time.Duration(calls) * time.Second / time.Duration(perSecond)
}

// recordFullRead plans the next reads from a complete read, and returns the part of the list to use. The read
// took calls calls, one for each page; required is the number of back ends that relays need, by service.
func (p *listingPlan) recordFullRead(now time.Duration, list []*v1.ListedBackEnd, calls int, required map[string]int) []*v1.ListedBackEnd {
	p.fullReadAt, p.fullReadCalls, p.insufficient, p.shownIDs = now, calls, false, nil
	p.openByService = countOpenBackEnds(list)
	p.pages, p.entries = 0, 0
	if p.unordered || calls < minimumPartialGain {
		return list
	}
	planned := make(map[string]int, len(required))
	for service, count := range required {
		planned[service] = int(float64(count) * partialListingMargin)
	}
	pageSize := (len(list) + calls - 1) / calls
	pages := (subsetting.PrefixLength(listedEntries(list), planned) + pageSize - 1) / pageSize
	if pages == 0 || pages*minimumPartialGain > calls {
		return list
	}
	p.pages, p.entries = pages, pages*pageSize
	return list[:p.entries]
}

// recordPartialRead checks whether a partial read shows the required back ends of each service and whether the list keeps
// its order.
func (p *listingPlan) recordPartialRead(list []*v1.ListedBackEnd, required map[string]int) {
	open := countOpenBackEnds(list)
	for service, count := range required {
		if open[service] < min(count, p.openByService[service]) {
			p.insufficient = true
		}
	}
	shown := make(map[string]bool, len(list))
	retained := 0
	for _, backEnd := range list {
		shown[backEnd.GetId()] = true
		if p.shownIDs[backEnd.GetId()] {
			retained++
		}
	}
	p.unordered = p.unordered || float64(retained) < minimumRetainedShare*float64(len(p.shownIDs))
	p.shownIDs = shown
}

// countOpenBackEnds counts, by service, the back ends that accept new work.
func countOpenBackEnds(list []*v1.ListedBackEnd) map[string]int {
	open := map[string]int{}
	for _, backEnd := range list {
		if !backEnd.GetLeaving() {
			open[backEnd.GetService()]++
		}
	}
	return open
}

func listedEntries(list []*v1.ListedBackEnd) []subsetting.Entry {
	entries := make([]subsetting.Entry, len(list))
	for index, backEnd := range list {
		entries[index] = subsetting.Entry{Service: backEnd.GetService(), Open: !backEnd.GetLeaving()}
	}
	return entries
}
