package gatewayloss

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/load"
)

// faultKind is what a run does to the fleet.
type faultKind string

// Faults.
const (
	killGateway faultKind = "kill a gateway"
	stopGateway faultKind = "stop a gateway"
	killEngine  faultKind = "kill an engine"
)

// outage is the time for which a gateway was away.
type outage struct {
	fault   faultKind
	gateway string // IP:port
	// from is just before the signal, until just after the gateway was ready again.
	from, until time.Time
}

// judgement is what is held of one answer.
type judgement int

// Judgements.
const (
	// fine is any answer that came to its end.
	fine judgement = iota
	// lostWithGateway is an answer that ended with the killed gateway that gave it.
	lostWithGateway
	// notConnected is a request sent to a gateway that was away.
	notConnected
	// wronglyCut is an answer without its end for which no outage accounts.
	wronglyCut
)

// judge tells whether an answer that did not come to its end may be without it.
func judge(result load.Result, outages []outage) judgement {
	if result.Outcome != load.Cut && result.Outcome != load.Lost {
		return fine
	}
	began := result.Ended.Add(-result.Total)
	for _, away := range outages {
		if away.gateway != result.Gateway || result.Ended.Before(away.from) || began.After(away.until) {
			continue
		}
		sentWhileAway := !began.Before(away.from)
		switch {
		case sentWhileAway && result.Outcome == load.Lost:
			return notConnected
		case away.fault == killGateway && !sentWhileAway:
			return lostWithGateway
		}
	}
	return wronglyCut
}
