package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// crashWait bounds how long a request whose run a back end broke off waits, before it is sent to another back end, for the
// crash guard to check whether the first one has crashed and to report a crash to the leader.
const crashWait = 300 * time.Millisecond

// newGuardedDispatcher returns the crash guard of a gateway and its dispatcher. The dispatcher reports replaced
// incarnations to the guard; the guard asks the dispatcher for a newer incarnation before it probes an address.
func newGuardedDispatcher(clock clock, config settings.Gateway, options ControlOptions, permits *permits, counts *gatewayMetrics) (*crashguard.Guard, *dispatcher, error) {
	dial := options.Dial
	if dial == nil {
		var err error
		if dial, err = dialing.ToBackEnds(config.SourceAddress); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	var guard *crashguard.Guard
	dispatcher, err := newDispatcher(clock, config, permits, newPathWatch(clock, options.Log, dial), func(former routing.BackEnd) { guard.RecordCrash(replicaOf(former).ID) })
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	guard = newGuard(clock, options, permits.controllers, counts, dispatcher)
	return guard, dispatcher, nil
}

// newGuard returns the crash guard of a gateway.
func newGuard(clock clock, options ControlOptions, controllers *controllers, counts *gatewayMetrics, dispatcher *dispatcher) *crashguard.Guard {
	return crashguard.New(crashguard.Options{
		Now: clock.now,
		Leader: crashguard.LeaderClient{Client: func() hazelpitchv1connect.NodeServiceClient {
			return controllers.client(controllers.candidates(true)[0])
		}},
		Probe: func(ctx context.Context, replica crashguard.Replica) crashguard.ProbeResult {
			if dispatcher.hasRestarted(backEndOf(replica)) {
				return crashguard.ProbeGone // another incarnation may serve at the address
			}
			connection, err := dispatcher.path.connect(ctx, "tcp", replica.Address)
			if err == nil {
				_ = connection.Close() // it served only as a probe
			}
			result := crashguard.ProbeResultOf(err)
			if result == crashguard.ProbeGone && !dispatcher.path.isBackEndFault(replica.Address) {
				return crashguard.ProbeUnclear
			}
			return result
		},
		Observer: guardObserver{log: options.Log, metrics: counts},
	})
}

// checkQuarantine refuses a quarantined request, and reports whether the request may run as a trial.
func (g *Gateway) checkQuarantine(content quarantine.Content) (trial bool, fault *refusal) {
	switch g.guard.Admit(context.Background(), content) {
	case crashguard.Quarantined:
		return false, refuseQuarantined(g.guard.RetryAfter(content))
	case crashguard.Trial:
		g.log.Warn().Stringer("content", content.Request).Msg("a held request is sent to one back end once more")
		return true, nil
	default:
		return false, nil
	}
}

// replicaOf identifies one incarnation of a back end.
func replicaOf(backEnd routing.BackEnd) crashguard.Replica {
	return crashguard.Replica{ID: backEnd.Name + "/" + strconv.FormatUint(backEnd.Incarnation, 10), Name: backEnd.Name, Address: backEnd.Address}
}

// backEndOf is the inverse of replicaOf for the fields that identify an incarnation.
func backEndOf(replica crashguard.Replica) routing.BackEnd {
	incarnation, _ := strconv.ParseUint(strings.TrimPrefix(replica.ID, replica.Name+"/"), 10, 64) // replicaOf wrote the ID
	return routing.BackEnd{Name: replica.Name, Incarnation: incarnation, Address: replica.Address}
}

// guardObserver logs and counts the events of the crash guard.
type guardObserver struct {
	log     *logring.Log
	metrics *gatewayMetrics
}

// ReplicaCrashed implements crashguard.Observer.
func (o guardObserver) ReplicaCrashed(replica string, requests int) {
	o.metrics.replicaCrashes.Inc()
	o.log.Warn().Str("back_end", replica).Int("requests", requests).Msg("a back end ended while it ran requests")
}

// RequestQuarantined implements crashguard.Observer.
func (o guardObserver) RequestQuarantined(signature quarantine.Signature) {
	o.log.Warn().Stringer("content", signature).Msg("a request is quarantined because back ends crashed while they ran it")
}

// LeaderCallFailed implements crashguard.Observer.
func (o guardObserver) LeaderCallFailed(err error) {
	o.metrics.guardCallsFailed.Inc()
	o.log.Warn().Err(err).Msg("the leader did not take what was found of ended back ends")
}
