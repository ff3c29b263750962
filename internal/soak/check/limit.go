package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// limitWindow is the time window over which a back end's limit is checked. In each window, limitShare times the limit
	// plus limitSlack requests may arrive.
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
	// limitInformedAfter is the time from when a relay forwards a response with a limit until its requests count.
	limitInformedAfter = 500 * time.Millisecond
	// limitLoweredGrace is the time for which the larger limit still counts after a back end has lowered it: relays
	// receive the new limit with the next response of the back end.
	limitLoweredGrace = time.Second
)

// limits finds back ends that announced a limit for all relays together and received more requests from relays that had
// forwarded the announcement. The requests of a relay count from its last restart, freeze or cut on. Windows in which
// the back end itself had a fault are left out.
func limits(recorded *history.History) []Finding {
	sent := sendingsByID(recorded)
	arrivals := map[string][]history.Arrival{}
	for _, arrival := range recorded.Arrivals {
		if arrival.Machine != "" {
			arrivals[arrival.Replica] = append(arrivals[arrival.Replica], arrival)
		}
	}
	announced := map[string][]history.Limit{}
	for _, limit := range recorded.Limits {
		announced[limit.Replica] = append(announced[limit.Replica], limit)
	}
	var findings []Finding
	for replica, changes := range announced {
		for first := 0; first < len(changes); {
			next := first + 1
			for next < len(changes) && changes[next-1].Named {
				next++
			}
			if changes[first].Named {
				period := limitPeriod{recorded: recorded, replica: replica, changes: changes[first:next]}
				findings = append(findings, period.findings(arrivals[replica], sent)...)
			}
			first = next
		}
	}
	return findings
}

// limitPeriod is a period in which a back end announced limits, from the first announcement to the withdrawal.
type limitPeriod struct {
	recorded *history.History
	replica  string
	changes  []history.Limit
}

// end returns when the back end withdrew its limit, or a time after the end of the run if it never did.
func (p *limitPeriod) end() time.Duration {
	if last := p.changes[len(p.changes)-1]; !last.Named {
		return last.At
	}
	const never = time.Duration(1<<62 - 1)
	return never
}

// findings checks each window that ends with an arrival, and returns the first violation.
func (p *limitPeriod) findings(arrivals []history.Arrival, sent map[string]history.Sending) []Finding {
	counted := p.countedArrivals(arrivals, sent)
	first := 0
	for last, at := range counted {
		for at-counted[first] > limitWindow {
			first++
		}
		if at < p.changes[0].At+p.recorded.Bounds.Contact || p.recorded.WasDisturbed(at-limitWindow, at, p.replica) {
			continue
		}
		if allowed := limitShare*p.allowed(at-limitWindow, at) + limitSlack; float64(last-first+1) > allowed {
			return []Finding{newFinding(Limit, at, "%s had named a limit at %.3f s and got %d requests in %s from relays that it had told; allowed %.1f",
				p.replica, p.changes[0].At.Seconds(), last-first+1, limitWindow, allowed)}
		}
	}
	return nil
}

// countedArrivals returns the times of the arrivals from relays that had to know the limit.
func (p *limitPeriod) countedArrivals(arrivals []history.Arrival, sent map[string]history.Sending) []time.Duration {
	informedAt := map[string][]time.Duration{}
	for _, arrival := range arrivals {
		sending := sent[arrival.ID]
		isForwarded := arrival.Limited && arrival.Seal != "" && sending.Seal == arrival.Seal && sending.EndedAt >= p.changes[0].At
		if isForwarded && arrival.At >= p.changes[0].At && arrival.At < p.end() {
			informedAt[arrival.Machine] = append(informedAt[arrival.Machine], sending.EndedAt)
		}
	}
	var counted []time.Duration
	for _, arrival := range arrivals {
		if arrival.At >= p.changes[0].At && arrival.At < p.end() && p.isInformed(informedAt[arrival.Machine], arrival) {
			counted = append(counted, arrival.At)
		}
	}
	return counted
}

// isInformed reports whether the relay that sent an arrival has forwarded an announcement of the limit since its last
// fault. informedAt holds the times at which the relay forwarded announcements.
func (p *limitPeriod) isInformed(informedAt []time.Duration, arrival history.Arrival) bool {
	for _, at := range informedAt {
		if at+limitInformedAfter <= arrival.At && !p.recorded.WasDisturbed(at, arrival.At, arrival.Machine) {
			return true
		}
	}
	return false
}

// allowed returns how many requests the limits allow between from and to. Before the first announcement, and for
// limitLoweredGrace after a limit was lowered, the larger limit counts.
func (p *limitPeriod) allowed(from, to time.Duration) float64 {
	const step = 10 * time.Millisecond
	sum := 0.0
	for at := from; at < to; at += step {
		sum += max(p.limitAt(at), p.limitAt(at-limitLoweredGrace)) * step.Seconds()
	}
	return sum
}

// limitAt returns the limit in requests per second at a time.
func (p *limitPeriod) limitAt(at time.Duration) float64 {
	limit := p.changes[0].PerSecond
	for _, change := range p.changes {
		if change.Named && change.At <= at {
			limit = change.PerSecond
		}
	}
	return limit
}
