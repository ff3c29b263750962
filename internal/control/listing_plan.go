package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

const (
	// listingCallsPerSecond bounds the calls for the list, whose rate all share, where it has to be read
	// whole each time: one of up to 25 pages is read each half second, one of 50 each second.
	listingCallsPerSecond = 50
	// wholeListingInterval is the least time between readings of the whole list while a part of it is enough:
	// a service that is new further behind is known after that. Readings of longer lists are spaced so that
	// they take wholeCallsPerSecond.
	wholeListingInterval = 20 * time.Second
	wholeCallsPerSecond  = 5
	// listingMargin is how many more back ends than are wanted the part that is read is planned to hold, so
	// that one that leaves does not call for the whole list.
	listingMargin = 1.25
	// leastPartGain is by how many times a part must be shorter than the list to be read in its place.
	leastPartGain = 2
	// leastKept is the share of what the last reading of the part showed that the next one must show: where
	// it shows less, the list does not keep its order, and no part of it will do.
	leastKept = 0.5
)

// listingPlan decides how much of the outside list the leader reads. A list that keeps its order is read as
// far as it holds what is wanted, so that the calls follow the work and not the number of back ends.
type listingPlan struct {
	// pages is how many pages are read, entries how many back ends they hold; 0 is all.
	pages, entries int
	// wholeAt is when the whole list was read last, in so many calls; open is how many back ends of each
	// service took work then.
	wholeAt time.Duration
	calls   int
	open    map[string]int
	// lacking tells that the part does not hold what is wanted any more.
	lacking bool
	// unordered tells that the list does not keep its order.
	unordered bool
	// shown are the identities that the last reading of the part showed.
	shown map[string]bool
}

// readsPart reports whether a part of the list is read most of the time.
func (p *listingPlan) readsPart() bool { return p.pages > 0 && !p.unordered }

// nextPages is how many pages to read now; 0 is all.
func (p *listingPlan) nextPages(now time.Duration) int {
	spacing := max(wholeListingInterval, callsTime(p.calls, wholeCallsPerSecond))
	if p.lacking {
		spacing = callsTime(p.calls, listingCallsPerSecond)
	}
	if !p.readsPart() || now-p.wholeAt >= spacing {
		return 0
	}
	return p.pages
}

// interval is the time between two readings, at least the base.
func (p *listingPlan) interval(base time.Duration) time.Duration {
	if p.readsPart() {
		return base
	}
	return max(base, callsTime(p.calls, listingCallsPerSecond))
}

// callsTime is how long so many calls take at a rate.
func callsTime(calls, perSecond int) time.Duration {
	return time.Duration(calls) * time.Second / time.Duration(perSecond)
}

// tookWhole plans by a reading of the whole list, and returns the part of it that counts.
func (p *listingPlan) tookWhole(now time.Duration, list []*v1.ListedBackEnd, calls int, wanted map[string]int) []*v1.ListedBackEnd {
	p.wholeAt, p.calls, p.lacking, p.shown = now, calls, false, nil
	p.open = openCounts(list)
	p.pages, p.entries = 0, 0
	if p.unordered || calls < leastPartGain {
		return list
	}
	planned := make(map[string]int, len(wanted))
	for service, count := range wanted {
		planned[service] = int(float64(count) * listingMargin)
	}
	pageSize := (len(list) + calls - 1) / calls
	pages := (subsetting.PrefixLength(listedEntries(list), planned) + pageSize - 1) / pageSize
	if pages == 0 || pages*leastPartGain > calls {
		return list
	}
	p.pages, p.entries = pages, pages*pageSize
	return list[:p.entries]
}

// tookPart judges a reading of a part: whether it holds what is wanted, and whether the list keeps its order.
func (p *listingPlan) tookPart(list []*v1.ListedBackEnd, wanted map[string]int) {
	open := openCounts(list)
	for service, count := range wanted {
		if open[service] < min(count, p.open[service]) {
			p.lacking = true
		}
	}
	shown := make(map[string]bool, len(list))
	kept := 0
	for _, backEnd := range list {
		shown[backEnd.GetId()] = true
		if p.shown[backEnd.GetId()] {
			kept++
		}
	}
	p.unordered = p.unordered || float64(kept) < leastKept*float64(len(p.shown))
	p.shown = shown
}

// openCounts is how many back ends of each service take new work.
func openCounts(list []*v1.ListedBackEnd) map[string]int {
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
