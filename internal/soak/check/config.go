package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// answerSlack is how long after its route's timeout a request may still get its final response. overdueAnswers checks
// the share of later responses once there are at least minLateAnswers of them.
const (
	minLateAnswers = 8
	answerSlack    = 500 * time.Millisecond
)

// config finds requests that ran on a service that only an older configuration names, although their relay was in
// contact with the controllers; reads that return an older configuration than was acknowledged; invalid
// configurations that were accepted; and requests that get their final response too long after their route's timeout.
func config(recorded *history.History) []Finding {
	findings := onReplacedServices(recorded)
	for _, read := range recorded.Reads {
		if newest := newestAcked(recorded, read.SentAt-recorded.Bounds.ConfigApply); read.Status == 200 && read.Number < newest {
			findings = append(findings, newFinding(Config, read.At, "configuration %d was read, %d had been acknowledged", read.Number, newest))
		}
	}
	for _, change := range recorded.Changes {
		if change.Invalid && change.AckedAt > 0 {
			findings = append(findings, newFinding(Config, change.AckedAt, "invalid configuration %d was acknowledged", change.Number))
		}
	}
	return append(findings, overdueAnswers(recorded)...)
}

// missingFinalRead finds that no controller returns a configuration at the end of the run although one was acknowledged.
func missingFinalRead(recorded *history.History) []Finding {
	if len(recorded.Reads) == 0 || newestAcked(recorded, recorded.Reads[len(recorded.Reads)-1].SentAt) == 0 {
		return nil
	}
	if last := recorded.Reads[len(recorded.Reads)-1]; last.Status != 200 {
		return []Finding{newFinding(Config, last.At, "no configuration was returned at the end; the last read got status %d", last.Status)}
	}
	return nil
}

// onReplacedServices finds requests that ran on a service that only an older configuration names.
func onReplacedServices(recorded *history.History) []Finding {
	sent := sendingsByID(recorded)
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		sending, known := sent[arrival.ID]
		if !known || !arrival.Ran || !recorded.IsInContact(arrival.Machine, arrival.At) {
			continue
		}
		allowed := servicesOf(recorded, sending)
		if len(allowed) > 0 && !allowed[arrival.Service] {
			findings = append(findings, newFinding(Config, arrival.At, "request %s of %s ran on service %s, which had been replaced before", arrival.ID, sending.Route, arrival.Service))
		}
	}
	return findings
}

// leadsTo reports whether a request may run on a service by each configuration that may apply to it.
func leadsTo(recorded *history.History, sending history.Sending, service string) bool {
	for _, change := range applicableTo(recorded, sending) {
		if change.Services[sending.Route] != service && change.SecondServices[sending.Route] != service {
			return false
		}
	}
	return true
}

// servicesOf returns the services on which a request may run. The newest configuration that was acknowledged at least
// Bounds.ConfigApply before the request was sent allows its services for the request's route. Each valid configuration
// with a higher number also allows its services if the configuration was submitted before the request ended. The result
// is empty if no configuration allows a service.
func servicesOf(recorded *history.History, sending history.Sending) map[string]bool {
	allowed := map[string]bool{}
	for _, change := range applicableTo(recorded, sending) {
		allowed[change.Services[sending.Route]] = true
		if second := change.SecondServices[sending.Route]; second != "" {
			allowed[second] = true
		}
	}
	return allowed
}

// applicableTo returns the configurations that may apply to a request.
func applicableTo(recorded *history.History, sending history.Sending) []history.Change {
	newest := newestAcked(recorded, sending.SentAt-recorded.Bounds.ConfigApply)
	var applicable []history.Change
	for _, change := range recorded.Changes {
		if change.Number >= newest && !change.Invalid && change.SentAt <= sending.EndedAt {
			applicable = append(applicable, change)
		}
	}
	return applicable
}

// overdueAnswers finds that more than a quarter of the requests that outlast their route's timeout get no final response
// within answerSlack after it.
func overdueAnswers(recorded *history.History) []Finding {
	late, outlasted := 0, 0
	var last time.Duration
	for _, sending := range recorded.Sendings {
		route := recorded.Routes[sending.Route]
		inContact := recorded.IsInContact(sending.Front, sending.SentAt) && recorded.IsInContact(sending.Front, sending.EndedAt)
		if route.Timeout <= 0 || sending.ClosedAt != 0 || !inContact {
			continue
		}
		if sending.EndedAt-sending.SentAt >= route.Timeout {
			outlasted++
			if sending.EndedAt-sending.SentAt > route.Timeout+answerSlack {
				late, last = late+1, sending.EndedAt
			}
		}
	}
	if late >= minLateAnswers && 4*late > outlasted {
		return []Finding{newFinding(Config, last, "%d of %d requests that outlast their route's timeout got no final response half a second after it", late, outlasted)}
	}
	return nil
}
