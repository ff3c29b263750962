package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// minLateAnswers is the number of requests without a final response at answerSlack after their timeout from which the
// share of such requests counts.
const (
	minLateAnswers = 8
	answerSlack    = 500 * time.Millisecond
)

// config finds requests that relays in contact handled as only an older configuration allows, reads that return an
// older configuration than was acknowledged, invalid configurations that were accepted, and requests that outlast
// their route's timeout.
func config(seen *history.History) []Finding {
	findings := onReplacedServices(seen)
	for _, read := range seen.Reads {
		if newest := newestAcked(seen, read.SentAt-seen.Bounds.ConfigApply); read.Status == 200 && read.Number < newest {
			findings = append(findings, newFinding(Config, read.At, "configuration %d was read, %d had been acknowledged", read.Number, newest))
		}
	}
	for _, change := range seen.Changes {
		if change.Invalid && change.AckedAt > 0 {
			findings = append(findings, newFinding(Config, change.AckedAt, "invalid configuration %d was acknowledged", change.Number))
		}
	}
	return append(findings, overdueAnswers(seen)...)
}

// onReplacedServices finds requests that ran on a service that only an older configuration names.
func onReplacedServices(seen *history.History) []Finding {
	sent := sendingsByID(seen)
	var findings []Finding
	for _, arrival := range seen.Arrivals {
		sending, known := sent[arrival.ID]
		if !known || !arrival.Ran || !seen.IsInContact(arrival.Machine, arrival.At) {
			continue
		}
		allowed := servicesOf(seen, sending)
		if len(allowed) > 0 && !allowed[arrival.Service] {
			findings = append(findings, newFinding(Config, arrival.At, "request %s of %s ran on service %s, which had been replaced before", arrival.ID, sending.Route, arrival.Service))
		}
	}
	return findings
}

// servicesOf returns the services to which a request may be routed: that of the newest configuration that must be
// applied when it was sent, and those of all newer ones that were submitted before it ended.
func servicesOf(seen *history.History, sending history.Sending) map[string]bool {
	must := newestAcked(seen, sending.SentAt-seen.Bounds.ConfigApply)
	allowed := map[string]bool{}
	for _, change := range seen.Changes {
		if change.Number >= must && !change.Invalid && change.SentAt <= sending.EndedAt {
			allowed[change.Services[sending.Route]] = true
		}
	}
	return allowed
}

// overdueAnswers finds requests without a final response half a second after their route's timeout.
func overdueAnswers(seen *history.History) []Finding {
	late, asked := 0, 0
	var last time.Duration
	for _, sending := range seen.Sendings {
		route := seen.Routes[sending.Route]
		inTouch := seen.IsInContact(sending.Front, sending.SentAt) && seen.IsInContact(sending.Front, sending.EndedAt)
		if route.Timeout <= 0 || sending.ClosedAt != 0 || !inTouch {
			continue
		}
		if sending.EndedAt-sending.SentAt >= route.Timeout {
			asked++
			if sending.EndedAt-sending.SentAt > route.Timeout+answerSlack {
				late, last = late+1, sending.EndedAt
			}
		}
	}
	if late >= minLateAnswers && 4*late > asked {
		return []Finding{newFinding(Config, last, "%d of %d requests that outlast their route's timeout got no final response half a second after it", late, asked)}
	}
	return nil
}
