package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// SiteStatus is a leader's status of the relays and back ends that it serves; empty at other controllers.
type SiteStatus struct {
	// Relays is the number of recently active relays; WaitingWatches is the number of their watches that wait.
	Relays, WaitingWatches int
	// OutdatedRelays is the number of those relays that do not support the newest format.
	OutdatedRelays int
	// RepeatedUpdates counts the updates that were sent again to relays that had not applied them.
	RepeatedUpdates uint64
	// BackEnds is the number of back ends in the last complete read of the external list, PublishedBackEnds the number
	// that is sent to relays, and Pages the number of pages of a partial read; 0 when all reads are complete.
	BackEnds, PublishedBackEnds, Pages int
	// UpdatesPerSecond is the current maximum rate at which the leader sends updates to relays.
	UpdatesPerSecond float64
	// MovesBySpeed counts the engines that were ordered to change their stage by speed; EnginesMissingGap is the number of
	// engines that relays report as too slow to decode within the gap targets.
	MovesBySpeed      uint64
	EnginesMissingGap int
	// QuorumSilence is the time since a quorum last answered this leader.
	QuorumSilence time.Duration
}

// siteStatus returns the status of this leader's site.
func (c *Core) siteStatus() SiteStatus {
	if !c.leading {
		return SiteStatus{RepeatedUpdates: c.repeatedUpdates, MovesBySpeed: c.movesBySpeed}
	}
	status := SiteStatus{
		Relays: len(c.relays), WaitingWatches: len(c.watches.byDue) + len(c.watches.ready),
		OutdatedRelays: c.countOutdatedRelays(), RepeatedUpdates: c.repeatedUpdates,
		MovesBySpeed: c.movesBySpeed, EnginesMissingGap: c.stages.speeds.countMissingGap(),
		BackEnds: c.listing.total, PublishedBackEnds: len(c.listing.published), UpdatesPerSecond: c.updatePace.perSecond, QuorumSilence: c.consensus.QuorumSilence(),
	}
	if c.listing.plan.readsPartially() {
		status.Pages = c.listing.plan.pages
	}
	return status
}

// countOutdatedRelays returns the number of relays that do not support the newest format.
func (c *Core) countOutdatedRelays() int {
	count := 0
	for _, record := range c.relays {
		if !record.formats.Supports(formats.Newest) {
			count++
		}
	}
	return count
}
