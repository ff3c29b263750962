package check

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// cutAnswers finds requests that a relay had read whole and whose connection ended before their deadline without a
// complete response: the relay must pass one on or give its own. A relay counts as having read a request that reached a
// back end, or that was sent Bounds.LossSlack before. A response that began may end early if its back end broke off.
func cutAnswers(recorded *history.History) []Finding {
	arrivals, crashes := arrivalsByID(recorded), crashTimes(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		cutAt, isCut := cutTime(sending)
		switch {
		case !isCut || cutAt-sending.SentAt >= sending.Deadline || !mustAnswer(recorded, sending, cutAt):
		case sending.Status == 0 && reachedStoppingRelay(recorded, sending): // unansweredByStopping finds it
		case !wasRead(recorded, arrivals[sending.ID], sending, cutAt):
		case sending.ResentAt > 0:
			findings = append(findings, newFinding(Lost, cutAt, "request %s at %s was cut off without a response, and sent again", sending.ID, sending.Front))
		case sending.Status == 0:
			findings = append(findings, newFinding(Lost, cutAt, "request %s at %s was cut off without a response after %s", sending.ID, sending.Front, cutAt-sending.SentAt))
		case !brokeOff(recorded, arrivals[sending.ID], sending, crashes) && !endedWithPeer(recorded, arrivals[sending.ID], sending):
			findings = append(findings, newFinding(Lost, cutAt, "the response to request %s at %s, status %d, was cut off after %s", sending.ID, sending.Front, sending.Status, cutAt-sending.SentAt))
		}
	}
	return findings
}

// cutTime returns when a request's connection ended without a complete response, although the client was still there.
func cutTime(sending history.Sending) (at time.Duration, isCut bool) {
	switch {
	case !sending.Connected || sending.ResetAt > 0:
		return 0, false
	case sending.ResentAt > 0:
		return sending.ResentAt, true
	case sending.ClosedAt > 0 || sending.LeftAt > 0 || sending.Status != 0 && sending.Whole:
		return 0, false
	default:
		return sending.EndedAt, true
	}
}

// wasRead reports whether a relay had read a request whole at the given time.
func wasRead(recorded *history.History, arrivals []history.Arrival, sending history.Sending, by time.Duration) bool {
	reached := slices.ContainsFunc(arrivals, func(arrival history.Arrival) bool { return arrival.At < by })
	return reached || sending.Status != 0 && sending.ResentAt == 0 || by-sending.SentAt > recorded.Bounds.LossSlack
}

// mustAnswer reports whether a request's relay had no fault that may cut the request, from the contact time before the
// request until the given time. Reloads and cuts from other processes and back ends are none, nor is a stop, until
// graceShare of the grace period is over. Relays of another build are left out while they stop.
func mustAnswer(recorded *history.History, sending history.Sending, until time.Duration) bool {
	for _, fault := range recorded.Faults {
		if fault.Target != sending.Front || fault.From > until || fault.To+recorded.Bounds.Contact < sending.SentAt {
			continue
		}
		switch {
		case fault.Kind == history.Reload || fault.Kind == history.Cut || fault.Kind == history.CutFromBackEnds:
		case fault.Kind != history.Terminate || fault.OtherBuild:
			return false
		case fault.To >= sending.SentAt && float64(until-fault.From) >= graceShare*float64(recorded.Bounds.Grace):
			return false
		}
	}
	return true
}

// crashTimes returns when requests first crashed back ends, by incarnation: several may crash one at once.
func crashTimes(recorded *history.History) map[string]time.Duration {
	times := map[string]time.Duration{}
	for _, arrival := range recorded.Arrivals {
		if at, known := times[arrival.Replica]; arrival.Crashed && (!known || arrival.EndedAt < at) {
			times[arrival.Replica] = arrival.EndedAt
		}
	}
	return times
}

// brokeOff reports whether one of the back ends that a request reached may have ended its response early: it broke it off,
// crashed, left, or had its connections reset or blocked meanwhile, or the relay was cut off from it. Back ends that stand still do
// not break off.
func brokeOff(recorded *history.History, arrivals []history.Arrival, sending history.Sending, crashes map[string]time.Duration) bool {
	if recorded.WasCutFromBackEnds(sending.Front, sending.SentAt, sending.EndedAt) {
		return true
	}
	breaking := []history.FaultKind{history.Crash, history.Drain, history.Reset, history.Silence}
	for _, arrival := range arrivals {
		if arrival.BrokenOff {
			return true
		}
		if at, crashed := crashes[arrival.Replica]; crashed && at <= sending.EndedAt {
			return true // a crashed incarnation may still receive requests until its connections are reset
		}
		for _, fault := range recorded.Faults {
			overlaps := fault.From <= sending.EndedAt && fault.To >= arrival.At
			if overlaps && fault.Target == arrival.Replica && slices.Contains(breaking, fault.Kind) {
				return true
			}
		}
	}
	return false
}
