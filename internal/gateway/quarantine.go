package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// endWait is how long a request waits, before it is sent to another back end, until the controllers have
// agreed on the end of the one that broke it off.
const endWait = 300 * time.Millisecond

// newGuard makes the guard of a gateway.
func newGuard(clock clock, config settings.Gateway, options ControlOptions, controllers *controllers, counts *gatewayMetrics) *crashguard.Guard {
	dial := options.Dial
	if dial == nil {
		dialer := &net.Dialer{}
		if config.SourceAddress != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.SourceAddress)}
		}
		dial = dialer.DialContext
	}
	return crashguard.New(crashguard.Options{
		Now: clock.now,
		Leader: crashguard.Calls{Client: func() hazelpitchv1connect.NodeServiceClient {
			return controllers.client(controllers.inOrder(true)[0])
		}},
		Probe: func(ctx context.Context, replica crashguard.Replica) crashguard.Sight {
			connection, err := dial(ctx, "tcp", replica.Address)
			if err == nil {
				_ = connection.Close() // it was opened to look only
			}
			return crashguard.SightOf(err)
		},
		Observer: guardObserver{log: options.Log, metrics: counts},
	})
}

// admitHeld refuses a request that must not run, and tells whether it is a trial.
func (g *Gateway) admitHeld(signature quarantine.Signature) (trial bool, fault *refusal) {
	switch g.guard.Admit(context.Background(), signature) {
	case crashguard.Held:
		return false, refuseHeld()
	case crashguard.Trial:
		g.log.Warn().Stringer("content", signature).Msg("a held request is sent to one back end once more")
		return true, nil
	default:
		return false, nil
	}
}

// replicaOf names one start of a back end.
func replicaOf(backEnd routing.BackEnd) crashguard.Replica {
	return crashguard.Replica{ID: backEnd.Name + "/" + strconv.FormatUint(backEnd.Incarnation, 10), Address: backEnd.Address}
}

// guardObserver writes lines and counts of what the guard finds.
type guardObserver struct {
	log     *logring.Log
	metrics *gatewayMetrics
}

// ReplicaEnded implements crashguard.Observer.
func (o guardObserver) ReplicaEnded(replica string, requests int) {
	o.metrics.replicaEnds.Inc()
	o.log.Warn().Str("back_end", replica).Int("requests", requests).Msg("a back end ended while it ran requests")
}

// RequestHeld implements crashguard.Observer.
func (o guardObserver) RequestHeld(signature quarantine.Signature) {
	o.log.Warn().Stringer("content", signature).Msg("a request is held, since back ends have ended while they ran it")
}

// ReportFailed implements crashguard.Observer.
func (o guardObserver) ReportFailed(err error) {
	o.metrics.guardCallsFailed.Inc()
	o.log.Warn().Err(err).Msg("the leader did not take what was found of ended back ends")
}
