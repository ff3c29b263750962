package fleetlimit

import "time"

const (
	// contentionSpan is how long a denied request takes precedence over less urgent ones: about the time until its
	// process retries.
	contentionSpan = 2 * time.Second
	// tokensForUrgent is how many tokens less urgent requests leave in the bucket during contentionSpan.
	tokensForUrgent = 1
	// consecutiveUrgentGrants is how many permits go to urgent requests before a less urgent one gets one: three quarters
	// of the permits go by urgency, so that no kind of request starves.
	consecutiveUrgentGrants = 3
)

// priority prefers urgent requests while permits are scarce. The zero value has recorded no requests.
type priority struct {
	// deniedAt is the time of the last denial by rank; 0 is never.
	deniedAt [RankCount]time.Duration
	// urgentGrants counts the permits for urgent requests since the last one for a less urgent request.
	urgentGrants int
}

// reservedTokens returns how many tokens a request of this rank must leave for more urgent ones.
func (p *priority) reservedTokens(now time.Duration, rank int) float64 {
	if p.urgentGrants >= consecutiveUrgentGrants || !p.isContended(now, rank) {
		return 0
	}
	return tokensForUrgent
}

// isContended reports whether a more urgent request was denied within contentionSpan.
func (p *priority) isContended(now time.Duration, rank int) bool {
	for _, deniedAt := range p.deniedAt[:rank] {
		if deniedAt > 0 && now-deniedAt < contentionSpan {
			return true
		}
	}
	return false
}

// recordGrant records that a permit was granted.
func (p *priority) recordGrant(now time.Duration, rank int) {
	if p.isContended(now, rank) {
		p.urgentGrants = 0
		return
	}
	if p.deniedAt[rank] > 0 && now-p.deniedAt[rank] < contentionSpan {
		p.urgentGrants = min(p.urgentGrants+1, consecutiveUrgentGrants)
	}
}

// recordDenial records that a permit was denied.
func (p *priority) recordDenial(now time.Duration, rank int) { p.deniedAt[rank] = max(now, 1) }
