package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

const (
	// maximumListingCallsPerSecond bounds the calls for the list, whose rate all share, where it has to be read
	// whole each time: one of up to 25 pages is read each half second, one of 50 each second.
	maximumListingCallsPerSecond = 50
	// fullListingInterval is the least time between readings of the whole list while a part of it is enough:
	// a service that is new further behind is known after that. Readings of longer lists are spaced so that
	// they take wholeCallsPerSecond.
	fullListingInterval       = 20 * time.Second
	fullListingCallsPerSecond = 5
	// partialListingMargin is how many more back ends than are wanted the part that is read is planned to hold, so
	// that one that leaves does not call for the whole list.
	partialListingMargin = 1.25
	// minimumPartialGain is by how many times a part must be shorter than the list to be read in its place.
	minimumPartialGain = 2
	// minimumRetainedShare is the share of what the last reading of the part showed that the next one must show: where
	// it shows less, the list does not keep its order, and no part of it will do.
	minimumRetainedShare = 0.5
)

// listingPlan decides how much of the outside list the leader reads. A list that keeps its order is read as
// far as it holds what is wanted, so that the calls follow the work and not the number of back ends.
type listingPlan struct {
	// pages is how many pages are read, entries how many back ends they hold; 0 is all.
	pages, entries int
	// fullReadAt is when the whole list was read last, in so many calls; open is how many back ends of each
	// service took work then.
	fullReadAt    time.Duration
	fullReadCalls int
	openByService map[string]int
	// insufficient tells that the part does not hold what is wanted any more.
	insufficient bool
	// unordered tells that the list does not keep its order.
	unordered bool
	// shownIDs are the identities that the last reading of the part showed.
	shownIDs map[string]bool
}

// readsPartially reports whether a part of the list is read most of the time.
func (p *listingPlan) readsPartially() bool { return p.pages > 0 && !p.unordered }

// nextPages is how many pages to read now; 0 is all.
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

// interval is the time between two readings, at least the base.
func (p *listingPlan) interval(base time.Duration) time.Duration {
	if p.readsPartially() {
		return base
	}
	return max(base, durationOfCalls(p.fullReadCalls, maximumListingCallsPerSecond))
}

// durationOfCalls is how long so many calls take at a rate.
func durationOfCalls(calls, perSecond int) time.Duration {
	return time.Duration(calls) * time.Second / time.Duration(perSecond)
}

// recordFullRead plans by a reading of the whole list, and returns the part of it that counts.
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

// recordPartialRead judges a reading of a part: whether it holds what is wanted, and whether the list keeps its order.
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

// countOpenBackEnds is how many back ends of each service take new work.
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
