package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/permits"
)

// permitLifetime is how long after it was granted a permit may be used: a run that is moved stands still for as long.
const permitLifetime = 2 * time.Second

// leaderLimitDelay is how long what this relay knows of a limit counts for more than what the leader tells, who hears of
// it later than the relays that keep the count.
const leaderLimitDelay = 10 * time.Second

// Outcomes of questions for permits, as metrics name them.
const (
	permitGranted = "granted"
	permitDenied  = "denied"
)

// recordLimit takes the limit in an answer of a back end to what was sent at a time, and tells those that keep its count.
func (r *Relay) recordLimit(backEnd *backEnd, limit backpressure.Limit, sentAt time.Duration) {
	if !backEnd.signals.RecordBackEndLimit(r.clock.now(), sentAt, limit) {
		return
	}
	r.logLimitChange(backEnd, limit, "")
	r.permits.ReportLimit(fleetlimit.BackEndLimit{BackEnd: backEnd.incarnationHash, Limit: limit})
}

// logLimitChange writes a line on a limit that has changed; teller is the relay or controller that told it, empty for the
// back end itself.
func (r *Relay) logLimitChange(backEnd *backEnd, limit backpressure.Limit, source string) {
	r.event(events.BackEndLimits).Str("back_end", backEnd.ID).Bool("named", limit.IsSet).Float64("per_second", limit.PerSecond).Str("teller", source).Send()
}

// tellers of limits, as lines name them.
const (
	sourceRelay  = "relay"
	sourceLeader = "leader"
)

// applyPeerLimit takes the limit of a back end as another relay knows it.
func (r *Relay) applyPeerLimit(named fleetlimit.BackEndLimit) {
	if backEnd := r.view.Load().byStart[named.BackEnd]; backEnd != nil && backEnd.signals.RecordPeerLimit(r.clock.now(), named.Limit) {
		r.logLimitChange(backEnd, named.Limit, sourceRelay)
	}
}

// applyLeaderLimit takes a limit as the leader knows it, where nothing else is known of it.
func (r *Relay) applyLeaderLimit(named fleetlimit.BackEndLimit) {
	backEnd, now := r.view.Load().byStart[named.BackEnd], r.clock.now()
	if backEnd == nil || !named.Limit.IsSet || backEnd.hasLimit() {
		return
	}
	if knownFor, isKnown := backEnd.signals.LimitAge(now); isKnown && knownFor < leaderLimitDelay {
		return
	}
	if backEnd.signals.RecordPeerLimit(now, named.Limit) {
		r.logLimitChange(backEnd, named.Limit, sourceLeader)
	}
}

// acquirePermit reports whether one request of a rank may be sent to the back end: it names no limit, or those who keep its
// count permit it. One that is owed must go on there: it is asked for also while others wait.
func (r *Relay) acquirePermit(backEnd *backEnd, rank int, isOwed bool) bool {
	limit, isFirstHand := backEnd.signals.Limit()
	if !limit.IsSet {
		return true
	}
	if !isOwed && backEnd.signals.PermitWait(r.clock.now()) > 0 {
		return false
	}
	answer, answered := r.permits.Request(fleetlimit.PermitRequest{BackEnd: backEnd.incarnationHash, Limit: limit, LimitFromBackEnd: isFirstHand, Rank: rank, MustResume: isOwed})
	now := r.clock.now()
	if answered && backEnd.signals.RecordPeerLimit(now, answer.Limit) {
		r.logLimitChange(backEnd, answer.Limit, sourceRelay)
	}
	if !answer.Granted {
		backEnd.signals.DelayPermits(now + answer.Wait)
		r.metrics.permits.WithLabelValues(permitDenied).Inc()
		return false
	}
	r.metrics.permits.WithLabelValues(permitGranted).Inc()
	return true
}

// internalCallRank is the rank of calls of a relay's own: no request waits for them.
const internalCallRank = fleetlimit.RankCount - 1

// acquirePermitFor takes a permit for a place that was picked; it reports false where there is none.
func (r *Relay) acquirePermitFor(chosen *selection, rank placement.Rank) bool {
	if !r.acquirePermit(chosen.backEnd, rank.First, false) {
		return false
	}
	chosen.permittedAt = r.clock.now()
	return true
}

// newPermits returns what gives this relay permits.
func newPermits(relay *Relay) *permits.Permits {
	return permits.New(permits.Config{
		Socket: relay.datagrams, Incarnation: relay.fleet.incarnation, Now: func() time.Duration { return relay.clock.now() },
		Draw: relay.draw, Peers: relay.peers, OnLimit: relay.applyPeerLimit,
		IsRelayListFresh: func() bool { return relay.clock.now()-relay.lastContact() <= relay.maxContactAge() },
	})
}
