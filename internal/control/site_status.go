package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// SiteStatus is what a leader knows of the relays and back ends that it serves; empty at others.
type SiteStatus struct {
	// Relays is how many relays were heard of lately, WaitingWatches how many of their questions wait.
	Relays, WaitingWatches int
	// FormerRelays is how many of them do not know the newest format.
	FormerRelays int
	// RepeatedUpdates counts the news that relays were told again, since they did not hold it after an answer.
	RepeatedUpdates uint64
	// BackEnds is how many the outside list held when it was read whole last, PublishedBackEnds how many of them relays
	// know, and Pages how many pages of the list are read most of the time; 0 is all.
	BackEnds, PublishedBackEnds, Pages int
	// UpdatesPerSecond is the pace at which news is told to relays.
	UpdatesPerSecond float64
	// QuorumSilence is how long ago a quorum was heard of.
	QuorumSilence time.Duration
}

// siteStatus returns what this leader knows of its site.
func (c *Core) siteStatus() SiteStatus {
	if !c.leading {
		return SiteStatus{RepeatedUpdates: c.repeatedUpdates}
	}
	status := SiteStatus{
		Relays: len(c.relays), WaitingWatches: len(c.watches.byDue) + len(c.watches.ready),
		FormerRelays: c.formerRelays(), RepeatedUpdates: c.repeatedUpdates,
		BackEnds: c.listing.total, PublishedBackEnds: len(c.listing.published), UpdatesPerSecond: c.updatePace.perSecond, QuorumSilence: c.consensus.QuorumSilence(),
	}
	if c.listing.plan.readsPartially() {
		status.Pages = c.listing.plan.pages
	}
	return status
}

// formerRelays is how many relays do not know the newest format.
func (c *Core) formerRelays() int {
	former := 0
	for _, record := range c.relays {
		if !record.formats.Supports(formats.Newest) {
			former++
		}
	}
	return former
}
