package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/permits"
)

// permitLifetime is how long a permit may be used after it was granted, which is long enough for the pause of a run that
// is being migrated.
const permitLifetime = 2 * time.Second

// leaderLimitDelay is how long the leader's value of a limit is ignored after the value that this relay knows has changed,
// since the leader receives limits later than their owners do.
const leaderLimitDelay = 10 * time.Second

// Outcomes of permit requests; they are label values of a metric.
const (
	permitGranted = "granted"
	permitDenied  = "denied"
)

// recordLimit records the limit in a back end's answer to a request that was sent at sentAt, and reports a change to the
// limit's owners.
func (r *Relay) recordLimit(backEnd *backEnd, limit backpressure.Limit, sentAt time.Duration) {
	if !backEnd.signals.RecordBackEndLimit(r.clock.now(), sentAt, limit) {
		return
	}
	r.logLimitChange(backEnd, limit, "")
	r.permits.ReportLimit(fleetlimit.BackEndLimit{BackEnd: backEnd.incarnationHash, Limit: limit})
}

// logLimitChange writes a log line about a changed limit. source says who reported it: a relay or the leader; it is empty
// for the back end itself.
func (r *Relay) logLimitChange(backEnd *backEnd, limit backpressure.Limit, source string) {
	r.event(events.BackEndLimitChanged).Str("back_end", backEnd.ID).Bool("named", limit.IsSet).Float64("per_second", limit.PerSecond).Str("teller", source).Send()
}

// Values of the log field that says who reported a changed limit to this relay: another relay or the leader.
const (
	sourceRelay  = "relay"
	sourceLeader = "leader"
)

// applyPeerLimit applies a limit that another relay announced.
func (r *Relay) applyPeerLimit(backEndLimit fleetlimit.BackEndLimit) {
	if backEnd := r.view.Load().byIncarnation[backEndLimit.BackEnd]; backEnd != nil && backEnd.signals.RecordPeerLimit(r.clock.now(), backEndLimit.Limit) {
		r.logLimitChange(backEnd, backEndLimit.Limit, sourceRelay)
	}
}

// applyLeaderLimit applies a limit that the leader reported, unless this relay knows a limit of the back end already, or has
// known for less than leaderLimitDelay that the back end has none.
func (r *Relay) applyLeaderLimit(backEndLimit fleetlimit.BackEndLimit) {
	backEnd, now := r.view.Load().byIncarnation[backEndLimit.BackEnd], r.clock.now()
	if backEnd == nil || !backEndLimit.Limit.IsSet || backEnd.hasLimit() {
		return
	}
	if knownFor, isKnown := backEnd.signals.LimitAge(now); isKnown && knownFor < leaderLimitDelay {
		return
	}
	if backEnd.signals.RecordPeerLimit(now, backEndLimit.Limit) {
		r.logLimitChange(backEnd, backEndLimit.Limit, sourceLeader)
	}
}

// acquirePermit reports whether one request of the given rank may be sent to the back end, because the back end has no limit
// or because the limit's owner grants a permit. It blocks while it queries the owner. mustResume marks a run that must
// continue at this back end: its permit is requested even while other requests wait for theirs.
func (r *Relay) acquirePermit(backEnd *backEnd, rank int, mustResume bool) bool {
	limit, isFromBackEnd := backEnd.signals.Limit()
	if !limit.IsSet {
		return true
	}
	if !mustResume && backEnd.signals.PermitWait(r.clock.now()) > 0 {
		return false
	}
	answer, answered := r.permits.Request(fleetlimit.PermitRequest{BackEnd: backEnd.incarnationHash, Limit: limit, LimitFromBackEnd: isFromBackEnd, Rank: rank, MustResume: mustResume})
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

// internalCallRank is the rank of the relay's internal calls to back ends, the lowest: no request waits for them.
const internalCallRank = fleetlimit.RankCount - 1

// acquirePermitFor acquires a permit for a selected back end and records the time in the selection. It returns false when
// the back end has a limit and no permit is granted.
func (r *Relay) acquirePermitFor(selection *backEndSelection, rank placement.Rank) bool {
	if !r.acquirePermit(selection.backEnd, rank.First, false) {
		return false
	}
	selection.permittedAt = r.clock.now()
	return true
}

// newPermits creates the relay's permits.
func newPermits(relay *Relay) *permits.Permits {
	return permits.New(permits.Config{
		Socket: relay.datagrams, Incarnation: relay.fleet.incarnation, Now: func() time.Duration { return relay.clock.now() },
		Draw: relay.draw, Peers: relay.peers, OnLimit: relay.applyPeerLimit,
		IsRelayListFresh: relay.isLeaderInContact,
	})
}
