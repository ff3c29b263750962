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

// leaderWordAfter is how long what this relay knows of a limit counts for more than what the leader tells, who hears of
// it later than the relays that keep the count.
const leaderWordAfter = 10 * time.Second

// Outcomes of questions for permits, as metrics name them.
const (
	permitGranted = "granted"
	permitDenied  = "denied"
)

// noteLimit takes the limit in an answer of a back end to what was sent at a time, and tells those that keep its count.
func (r *Relay) noteLimit(backEnd *backEnd, limit backpressure.Limit, sentAt time.Duration) {
	if !backEnd.signals.RecordBackEndLimit(r.clock.now(), sentAt, limit) {
		return
	}
	r.limitEvent(backEnd, limit, "")
	r.permits.ReportLimit(fleetlimit.BackEndLimit{BackEnd: backEnd.startHash, Limit: limit})
}

// limitEvent writes a line on a limit that has changed; teller is the relay or controller that told it, empty for the
// back end itself.
func (r *Relay) limitEvent(backEnd *backEnd, limit backpressure.Limit, teller string) {
	r.event(events.BackEndLimitChanged).Str("back_end", backEnd.ID).Bool("named", limit.IsSet).Float64("per_second", limit.PerSecond).Str("teller", teller).Send()
}

// tellers of limits, as lines name them.
const (
	tellerRelay  = "relay"
	tellerLeader = "leader"
)

// takeLimit takes the limit of a back end as another relay knows it.
func (r *Relay) takeLimit(told fleetlimit.BackEndLimit) {
	if backEnd := r.view.Load().byStart[told.BackEnd]; backEnd != nil && backEnd.signals.RecordPeerLimit(r.clock.now(), told.Limit) {
		r.limitEvent(backEnd, told.Limit, tellerRelay)
	}
}

// takeLeadersLimit takes a limit as the leader knows it, where nothing else is known of it.
func (r *Relay) takeLeadersLimit(told fleetlimit.BackEndLimit) {
	backEnd, now := r.view.Load().byStart[told.BackEnd], r.clock.now()
	if backEnd == nil || !told.Limit.IsSet || backEnd.limited() {
		return
	}
	if known, heard := backEnd.signals.LimitAge(now); heard && known < leaderWordAfter {
		return
	}
	if backEnd.signals.RecordPeerLimit(now, told.Limit) {
		r.limitEvent(backEnd, told.Limit, tellerLeader)
	}
}

// permitted reports whether one request of a rank may be sent to the back end: it names no limit, or those who keep its
// count permit it. One that is owed must go on there: it is asked for also while others wait.
func (r *Relay) permitted(backEnd *backEnd, rank int, owed bool) bool {
	limit, own := backEnd.signals.Limit()
	if !limit.IsSet {
		return true
	}
	if !owed && backEnd.signals.PermitWait(r.clock.now()) > 0 {
		return false
	}
	answer, answered := r.permits.Request(fleetlimit.PermitRequest{BackEnd: backEnd.startHash, Limit: limit, LimitFromBackEnd: own, Rank: rank, MustResume: owed})
	now := r.clock.now()
	if answered && backEnd.signals.RecordPeerLimit(now, answer.Limit) {
		r.limitEvent(backEnd, answer.Limit, tellerRelay)
	}
	if !answer.Granted {
		backEnd.signals.DelayPermits(now + answer.Wait)
		r.metrics.permits.WithLabelValues(permitDenied).Inc()
		return false
	}
	r.metrics.permits.WithLabelValues(permitGranted).Inc()
	return true
}

// ownCallRank is the rank of calls of a relay's own: no request waits for them.
const ownCallRank = fleetlimit.RankCount - 1

// permitPlace takes a permit for a place that was picked; it reports false where there is none.
func (r *Relay) permitPlace(chosen *place, rank placement.Rank) bool {
	if !r.permitted(chosen.backEnd, rank.First, false) {
		return false
	}
	chosen.permittedAt = r.clock.now()
	return true
}

// newPermits returns what gives this relay permits.
func newPermits(relay *Relay) *permits.Permits {
	return permits.New(permits.Config{
		Socket: relay.datagrams, Incarnation: relay.knowledge.incarnation, Now: func() time.Duration { return relay.clock.now() },
		Draw: relay.draw, Peers: relay.peers, OnLimit: relay.takeLimit,
		IsRelayListFresh: func() bool { return relay.clock.now()-relay.lastContact() <= relay.contactLimit() },
	})
}
