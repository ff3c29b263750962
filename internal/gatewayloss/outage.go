package gatewayloss

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/load"
)

// faultKind is a kind of fault that a run injects.
type faultKind string

// Kinds of faults.
const (
	killGateway faultKind = "kill a gateway"
	stopGateway faultKind = "stop a gateway"
	killEngine  faultKind = "kill an engine"
)

// outage is the period in which a gateway was down.
type outage struct {
	fault   faultKind
	gateway string // IP:port
	// from is just before the signal; until is just after the gateway became ready again.
	from, until time.Time
}

// classification is the result of judging one answer.
type classification int

// Classifications of answers.
const (
	// complete is any answer that was not cut or lost.
	complete classification = iota
	// lostWithGateway is an answer that ended because its gateway was killed.
	lostWithGateway
	// notConnected is a request sent to a gateway while it was down.
	notConnected
	// wronglyCut is an incomplete answer that no outage explains.
	wronglyCut
)

// classify decides whether an outage explains an answer that was cut or lost.
func classify(result load.Result, outages []outage) classification {
	if result.Outcome != load.Cut && result.Outcome != load.Lost {
		return complete
	}
	began := result.Ended.Add(-result.Total)
	for _, period := range outages {
		if period.gateway != result.Gateway || result.Ended.Before(period.from) || began.After(period.until) {
			continue
		}
		sentDuringOutage := !began.Before(period.from)
		switch {
		case sentDuringOutage && result.Outcome == load.Lost:
			return notConnected
		case period.fault == killGateway && !sentDuringOutage:
			return lostWithGateway
		}
	}
	return wronglyCut
}
