package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// gatherComparison is the length of the time before connections gather with which the served share is compared.
	gatherComparison = 5 * time.Second
	// minGatheredTries is the least number of first tries in each of the two times.
	minGatheredTries = 20
)

// unservedWhileGathered finds that clients' first tries are served less than three quarters as often while most new connections go to one
// relay, from the contact time on, as in the seconds before.
func unservedWhileGathered(recorded *history.History) []Finding {
	var findings []Finding
	for _, gathered := range recorded.Faults {
		if gathered.Kind != history.Gather {
			continue
		}
		before := servedBetween(recorded, gathered.From-gatherComparison, gathered.From)
		during := servedBetween(recorded, gathered.From+recorded.Bounds.Contact, gathered.To)
		isCompared := before.All >= minGatheredTries && during.All >= minGatheredTries
		if isCompared && 4*during.Served*before.All < 3*before.Served*during.All {
			findings = append(findings, newFinding(Recover, gathered.From+recorded.Bounds.Contact, "first tries while most new connections go to %s: %s; in the seconds before: %s", gathered.Target, during, before))
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
