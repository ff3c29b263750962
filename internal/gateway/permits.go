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
	// permitTimeout bounds the question for a permit: the leader answers it from memory.
	permitTimeout = 300 * time.Millisecond
	// noLeaderWait is how long a back end is not asked for again for which no leader gave an answer.
	noLeaderWait = 250 * time.Millisecond
	// mostPermitTries bounds the back ends for which one request asks.
	mostPermitTries = 8
	// comeBackSpread is the least time over which callers are spread that come back when a limit has room again.
	comeBackSpread = 300 * time.Millisecond
)

// Outcomes of questions for permits, as metrics name them.
const (
	permitGranted    = "granted"
	permitDenied     = "denied"
	permitUnanswered = "unanswered"
)

// permits asks the leader whether requests may go to back ends that name limits for all gateways together.
type permits struct {
	controllers *controllers
	identity    *v1.NodeIdentity
	outcomes    *prometheus.CounterVec
}

// take asks for one permit; it reports false where no leader answers.
func (p *permits) take(ask fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	request := &v1.TakePermitRequest{
		Node: p.identity, Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: ask.BackEnd, Limit: ask.Limit}), Heard: ask.LimitFromBackEnd,
		Rank: uint32(ask.Rank), Owed: ask.MustResume,
	}
	response, err := p.controllers.takePermit(ctx, request)
	if err != nil {
		p.outcomes.WithLabelValues(permitUnanswered).Inc()
		return fleetlimit.PermitResponse{Wait: noLeaderWait/2 + rand.N(noLeaderWait)}, false
	}
	outcome := permitDenied
	if response.GetGranted() {
		outcome = permitGranted
	}
	p.outcomes.WithLabelValues(outcome).Inc()
	named, valid := fleetlimit.FromWire(response.GetLimit())
	if !valid {
		named.Limit = ask.Limit
	}
	return fleetlimit.PermitResponse{
		Granted: response.GetGranted(), Wait: time.Duration(response.GetWaitUs()) * time.Microsecond, Limit: named.Limit,
	}, true
}

// takePermit asks the leader, or a controller that passes the question on.
func (c *controllers) takePermit(ctx context.Context, request *v1.TakePermitRequest) (*v1.TakePermitResponse, error) {
	address := c.inOrder(true)[0]
	response, err := c.client(address).TakePermit(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err, "ask controller %s for a permit", address)
	}
	return response.Msg, nil
}

// rankOfPriority is the rank of a kind of request, 0 the most urgent; of priorities the larger goes first.
func rankOfPriority(priority int32) int {
	return min(max(fleetlimit.RankCount-1-int(priority), 0), fleetlimit.RankCount-1)
}

// pick chooses where to send a request, among back ends that name no limit or permit it.
func (d *dispatcher) pick(request routing.Request, excluded []string) (routing.Choice, error) {
	for range mostPermitTries {
		choice, err := d.pickOnce(request, excluded)
		if err != nil || d.permitted(choice, request.Rank) {
			return choice, err
		}
	}
	return routing.Choice{}, &routing.PickError{Reason: routing.ErrAllLimited, Service: request.Service, RetryAfter: comeBackSpread}
}

// permitted reports whether the back ends of a choice name no limits or permit the request. The one that answers is
// asked first: a prompt that was read for nobody was read in vain.
func (d *dispatcher) permitted(choice routing.Choice, rank int) bool {
	if !d.mayCall(choice.BackEnd, rank, false) {
		return false
	}
	return choice.Prefill == nil || d.mayCall(*choice.Prefill, rank, false)
}

// mayCall reports whether one call may go to a back end that may name a limit. One that is owed must go there.
func (d *dispatcher) mayCall(backEnd routing.BackEnd, rank int, owed bool) bool {
	d.mutex.Lock()
	ask, needed := d.router.PermitRequest(backEnd)
	d.mutex.Unlock()
	if !needed {
		return true
	}
	ask.Rank, ask.MustResume = rank, owed
	answer, answered := d.permits.take(ask)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.ApplyPermitAnswer(d.clock.now(), backEnd, answer, answered)
	return answer.Granted
}

// heardLimits returns what back ends have named to this gateway that the leader has not been told.
func (d *dispatcher) heardLimits() []fleetlimit.BackEndLimit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.UnreportedLimits()
}

// limitsReported takes what the leader said of limits to a report that told it some.
func (d *dispatcher) limitsReported(told []fleetlimit.BackEndLimit, response *v1.ReportResponse) {
	var known []fleetlimit.BackEndLimit
	for _, limit := range response.GetLimits() {
		if named, valid := fleetlimit.FromWire(limit); valid {
			known = append(known, named)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.MarkLimitsReported(told)
	d.router.ApplyLimits(d.clock.now(), known)
}
