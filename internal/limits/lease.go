package limits

import (
	"math"
	"time"
)

// maximumHalvings is the number of lease periods after which a share that is not renewed has
// expired completely.
const maximumHalvings = 10

// forever is later than any time.
const forever = time.Duration(math.MaxInt64)

// lease is a share of a tenant's limit for a limited time. The zero lease yields nothing.
type lease struct {
	tokensPerSecond float64
	concurrency     uint32
	expiresAt       time.Duration
	period          time.Duration
}

// halvings returns how many times the share has been halved at the given time.
func (l *lease) halvings(at time.Duration) int {
	if at < l.expiresAt || l.period <= 0 {
		return 0
	}
	return int(min((at-l.expiresAt)/l.period+1, maximumHalvings+1))
}

// factor returns the fraction of the share that the lease still yields at the given time.
func (l *lease) factor(at time.Duration) float64 {
	halvings := l.halvings(at)
	if halvings > maximumHalvings {
		return 0
	}
	return math.Exp2(-float64(halvings))
}

// nextChange returns the next time after at when the factor changes.
func (l *lease) nextChange(at time.Duration) time.Duration {
	halvings := l.halvings(at)
	if l.period <= 0 || halvings > maximumHalvings {
		return forever
	}
	return l.expiresAt + time.Duration(halvings)*l.period
}

// leasedShares are a tenant's shares at this gateway: the one granted by the controllers and the
// initial one. The larger one applies, so that a new tenant keeps the initial share while other
// gateways still hold the whole limit.
type leasedShares struct {
	granted lease
	initial lease
}

// rate returns the token rate at the given time.
func (s *leasedShares) rate(at time.Duration) float64 {
	return max(s.granted.tokensPerSecond*s.granted.factor(at), s.initial.tokensPerSecond*s.initial.factor(at))
}

// concurrency returns the number of requests that may be in flight at the given time.
func (s *leasedShares) concurrency(at time.Duration) int {
	granted := float64(s.granted.concurrency) * s.granted.factor(at)
	initial := float64(s.initial.concurrency) * s.initial.factor(at)
	return int(max(granted, initial))
}

// tokens returns the tokens that the shares yield between two times.
func (s *leasedShares) tokens(from, to time.Duration) float64 {
	var sum float64
	for from < to {
		end := min(to, s.granted.nextChange(from), s.initial.nextChange(from))
		sum += s.rate(from) * (end - from).Seconds()
		from = end
	}
	return sum
}
