package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

const (
	// permitTimeout bounds a permit request; the leader answers it from memory.
	permitTimeout = 300 * time.Millisecond
	// noLeaderRetryDelay is the mean time for which no permit is requested for a back end after a request for one got no
	// answer; the actual time is random, from half of it to one and a half times it.
	noLeaderRetryDelay = 250 * time.Millisecond
	// maximumPermitTries bounds how often pick chooses back ends for an exchange until one choice has its permits.
	maximumPermitTries = 8
	// minimumRetrySpread is the shortest interval over which callers' retries are spread, so that they do not arrive
	// together once a limit has capacity again.
	minimumRetrySpread = 300 * time.Millisecond
)

// Outcomes of permit requests, as reported in the metrics.
const (
	permitGranted    = "granted"
	permitDenied     = "denied"
	permitUnanswered = "unanswered"
)

// permits requests permits from the leader for back ends that set a limit for all gateways together.
type permits struct {
	controllers *controllers
	identity    *v1.NodeIdentity
	outcomes    *prometheus.CounterVec
}

// request requests one permit. It reports false when no controller answered; the response then holds only the time to
// wait before the next permit request.
func (p *permits) request(permitRequest fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	request := &v1.TakePermitRequest{
		Node: p.identity, Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: permitRequest.BackEnd, Limit: permitRequest.Limit}), Heard: permitRequest.LimitFromBackEnd,
		Rank: uint32(permitRequest.Rank), Owed: permitRequest.MustResume,
	}
	response, err := p.controllers.takePermit(ctx, request)
	if err != nil {
		p.outcomes.WithLabelValues(permitUnanswered).Inc()
		return fleetlimit.PermitResponse{Wait: noLeaderRetryDelay/2 + rand.N(noLeaderRetryDelay)}, false
	}
	outcome := permitDenied
	if response.GetGranted() {
		outcome = permitGranted
	}
	p.outcomes.WithLabelValues(outcome).Inc()
	named, valid := fleetlimit.FromWire(response.GetLimit())
	if !valid {
		named.Limit = permitRequest.Limit
	}
	return fleetlimit.PermitResponse{
		Granted: response.GetGranted(), Wait: time.Duration(response.GetWaitUs()) * time.Microsecond, Limit: named.Limit,
	}, true
}

// takePermit requests a permit from the last known leader, or from the first controller in the order of attempts, which
// forwards the request to the leader.
func (c *controllers) takePermit(ctx context.Context, request *v1.TakePermitRequest) (*v1.TakePermitResponse, error) {
	address := c.candidates(true)[0]
	response, err := c.client(address).TakePermit(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err, "ask controller %s for a permit", address)
	}
	return response.Msg, nil
}

// rankOfPriority converts the priority of a request kind to the rank of its permit requests. Rank 0 is the most urgent and
// belongs to the highest priority.
func rankOfPriority(priority int32) int {
	return min(max(fleetlimit.RankCount-1-int(priority), 0), fleetlimit.RankCount-1)
}

// pick chooses the back ends of a request. Each of them either sets no limit or has a permit from the leader for this
// request. It does not choose the excluded back ends.
func (d *dispatcher) pick(request routing.Request, excluded []string) (routing.Choice, error) {
	for range maximumPermitTries {
		choice, err := d.pickOnce(request, excluded)
		if err != nil || d.arePermitted(choice, request.Rank) {
			return choice, err
		}
		if d.path.isLost(choice.BackEnd.Address) {
			return routing.Choice{}, &routing.PickError{Reason: routing.ErrNoBackEnd, Service: request.Service, RetryAfter: lostPathRetryAfter}
		}
	}
	return routing.Choice{}, &routing.PickError{Reason: routing.ErrAllLimited, Service: request.Service, RetryAfter: minimumRetrySpread}
}

// arePermitted reports whether each back end of a choice sets no limit or gets a permit from the leader. It checks the
// decode engine first, because a prefill without a permit to decode would be wasted.
func (d *dispatcher) arePermitted(choice routing.Choice, rank int) bool {
	if !d.mayCall(choice.BackEnd, rank) {
		return false
	}
	return choice.Prefill == nil || d.mayCall(*choice.Prefill, rank)
}

// mayCall reports whether a call may be sent to a back end. When the back end sets a limit, it requests a permit for the
// call, unless the path to the back end is lost: other gateways could use the permit.
func (d *dispatcher) mayCall(backEnd routing.BackEnd, rank int) bool {
	granted, _ := d.requestPermit(backEnd, rank, false)
	return granted
}

// requestPermit requests a permit for a call to a back end that sets a limit; a call to any other back end is granted.
// answered is false when no leader answered. mustResume says that the call resumes an exchange and so can only go to this
// back end.
func (d *dispatcher) requestPermit(backEnd routing.BackEnd, rank int, mustResume bool) (granted, answered bool) {
	d.mutex.Lock()
	permitRequest, needed := d.router.PermitRequest(backEnd)
	d.mutex.Unlock()
	if !needed {
		return true, true
	}
	if !mustResume && d.path.isLost(backEnd.Address) {
		return false, true
	}
	permitRequest.Rank, permitRequest.MustResume = rank, mustResume
	answer, answered := d.permits.request(permitRequest)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.ApplyPermitAnswer(d.clock.now(), backEnd, answer, answered)
	return answer.Granted, answered
}

// unreportedLimits returns the limits that back ends have reported to this gateway and that the leader does not know yet.
func (d *dispatcher) unreportedLimits() []fleetlimit.BackEndLimit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.UnreportedLimits()
}

// applyReportLimits applies the leader's answer to a report that contained the given limits.
func (d *dispatcher) applyReportLimits(reported []fleetlimit.BackEndLimit, response *v1.ReportResponse) {
	var known []fleetlimit.BackEndLimit
	for _, limit := range response.GetLimits() {
		if named, valid := fleetlimit.FromWire(limit); valid {
			known = append(known, named)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.MarkLimitsReported(reported)
	d.router.ApplyLimits(d.clock.now(), known)
}
