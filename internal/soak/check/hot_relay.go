package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// hotRelayComparison is the length of the time before most connections go to one relay with which the served share is compared.
	hotRelayComparison = 5 * time.Second
	// minHotRelayTries is the least number of first tries in each of the two times.
	minHotRelayTries = 20
)

// unservedAtHotRelay finds that clients' first tries are served less than three quarters as often while most new connections go to one
// relay, from the contact time on, as in the seconds before.
func unservedAtHotRelay(recorded *history.History) []Finding {
	var findings []Finding
	for _, hot := range recorded.Faults {
		if hot.Kind != history.HotRelay {
			continue
		}
		before := servedBetween(recorded, hot.From-hotRelayComparison, hot.From)
		during := servedBetween(recorded, hot.From+recorded.Bounds.Contact, hot.To)
		isCompared := before.All >= minHotRelayTries && during.All >= minHotRelayTries
		if isCompared && 4*during.Served*before.All < 3*before.Served*during.All {
			findings = append(findings, newFinding(Recover, hot.From+recorded.Bounds.Contact, "first tries while most new connections go to %s: %s; in the seconds before: %s", hot.Target, during, before))
		}
	}
	return findings
}

// servedBetween counts the first tries at relays in contact with the controllers. It leaves out clients that left, requests that no relay
// has read, and those that crash back ends.
func servedBetween(recorded *history.History, from, to time.Duration) Share {
	crashing, sent := crashingContents(recorded), map[string]bool{}
	var share Share
	for _, sending := range recorded.Sendings {
		isFirst := sending.Request == "" || !sent[sending.Request]
		sent[sending.Request] = true
		isCounted := sending.SentAt >= from && sending.SentAt <= to && isFirst && sending.Connected && sending.Resumes == ""
		hasLeft := sending.ClosedAt > 0 || sending.LeftAt > 0
		if isCounted && !hasLeft && !crashing[sending.Content] && deadlyPartOf(sending) == "" && recorded.IsInContact(sending.Front, sending.SentAt) {
			share = share.with(sending.Succeeded() && sending.Whole)
		}
	}
	return share
}
