package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// crashReportWait is how long a request waits, before its next attempt, for the controllers to agree that the back end that
// broke its connection has crashed.
const crashReportWait = 300 * time.Millisecond

// reasonQuarantined is the reason for refusing a request that has crashed back ends.
const reasonQuarantined = "back ends have ended while they ran this request"

// newGuard creates the crash guard of a relay.
func newGuard(relay *Relay) *crashguard.Guard {
	leader := crashguard.LeaderClient{Client: relay.watcher.LeaderClient}
	return crashguard.New(crashguard.Options{
		Leader: leader, Now: relay.clock.now, Probe: relay.probe, Observer: guardObserver{relay},
	})
}

// admitQuarantined refuses a quarantined request unless it may run as a trial. It reports whether the request is admitted.
func (r *Relay) admitQuarantined(request *request, reply *replier) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	switch r.guard.Admit(ctx, request.content) {
	case crashguard.Quarantined:
		r.replyRefused(&attemptTracker{relay: r, request: request, isQuarantined: true}, reply)
		return false
	case crashguard.Trial:
		request.isTrial = true
		r.log.recordTrial(request)
	}
	return true
}

// reportBrokenRun lets the guard find out whether the back end that broke the connection has crashed. It waits for the result
// when the request may be sent again.
func (a *attemptTracker) reportBrokenRun(backEnd *backEnd, fault *failure) {
	relay, request := a.relay, a.request
	wait := min(crashReportWait, request.deadline-relay.clock.now())
	if !request.route.Repeatable() || a.sentCount >= request.route.MaxAttempts {
		wait = 0
	}
	if relay.reportBrokenRun(request, backEnd, fault, wait) {
		a.isQuarantined = true
	}
}

// reportBrokenRun lets the guard find out whether the back end that broke the connection has crashed. It waits for the result for
// the given time, and reports whether the request is quarantined then.
func (r *Relay) reportBrokenRun(request *request, backEnd *backEnd, fault *failure, wait time.Duration) (isQuarantined bool) {
	switch {
	case !fault.mayHaveArrived || backEnd.isLeaving():
	case errors.Is(fault, errStalled) || errors.Is(fault, errPeerTimeout):
		r.guard.RecordSilentRun(request.content, backEnd.ID)
	case !fault.isBroken():
	case wait <= 0:
		go r.guard.RecordBrokenRun(request.content, replicaOf(backEnd), 0)
	default:
		return r.guard.RecordBrokenRun(request.content, replicaOf(backEnd), wait)
	}
	return false
}

// replicaOf returns the identity of a back end for the guard.
func replicaOf(backEnd *backEnd) crashguard.Replica {
	return crashguard.Replica{ID: backEnd.ID, Name: backEnd.ExpectedID(), Address: backEnd.Address}
}

// reportIfCrashed reports a crash to the guard when another back end listens at the back end's address. That nothing listens
// there is reported by the pathWatch.
func (r *Relay) reportIfCrashed(backEnd *backEnd, fault *failure) {
	if errors.Is(fault, errMisdirected) {
		r.guard.RecordCrash(backEnd.ID)
	}
}

// probe checks whether a back end accepts connections; an opened connection is kept in the pool. An incarnation that the
// list shows as replaced has crashed even if its address accepts connections: the list may show the replacement before
// the connections break.
func (r *Relay) probe(_ context.Context, replica crashguard.Replica) crashguard.ProbeResult {
	record := r.backEndByID(replica.ID)
	if record == nil && r.isReplaced(replica) {
		return crashguard.ProbeGone
	}
	if record == nil { // not listed any more: nothing may be kept in its pool
		record = newBackEnd(serving.BackEnd{ID: replica.ID, Address: replica.Address}, 0)
		record.pool.Close()
	}
	connection, err := r.exchanger.open(record, dialTimeout)
	if err == nil {
		record.pool.Put(connection, r.clock.now())
	}
	result := crashguard.ProbeResultOf(err)
	if result == crashguard.ProbeGone && !r.confirmPath(record) {
		return crashguard.ProbeUnclear
	}
	return result
}

// confirmPath waits for a check of the path after a back end could not be connected to. It returns false if the path may be
// lost, so that a refused connection says nothing about the back end.
func (r *Relay) confirmPath(backEnd *backEnd) bool {
	r.path.check(backEnd)
	return r.path.isConfirmed(backEnd)
}

// isReplaced reports whether the list shows another incarnation at the replica's address or under its identity.
func (r *Relay) isReplaced(replica crashguard.Replica) bool {
	for _, backEnds := range r.view.Load().byService {
		for _, backEnd := range backEnds {
			if backEnd.ID != replica.ID && (backEnd.Address == replica.Address || backEnd.ExpectedID() == replica.Name) {
				return true
			}
		}
	}
	return false
}

// reportReplaced reports to the guard the removed back ends whose address or identity another incarnation has taken over.
func (r *Relay) reportReplaced(gone []*backEnd, present map[string]*backEnd) {
	if len(gone) == 0 {
		return
	}
	addresses, identities := make(map[string]bool, len(present)), make(map[string]bool, len(present))
	for _, backEnd := range present {
		addresses[backEnd.Address] = true
		identities[backEnd.ExpectedID()] = true
	}
	for _, backEnd := range gone {
		if addresses[backEnd.Address] || identities[backEnd.ExpectedID()] {
			r.guard.RecordCrash(backEnd.ID)
		}
	}
}

// backEndByID returns a listed back end; nil when it is not listed.
func (r *Relay) backEndByID(id string) *backEnd {
	for _, backEnds := range r.view.Load().byService {
		for _, backEnd := range backEnds {
			if backEnd.ID == id {
				return backEnd
			}
		}
	}
	return nil
}

// guardObserver writes log lines and metrics for the guard's findings.
type guardObserver struct{ relay *Relay }

// ReplicaCrashed implements crashguard.Observer.
func (o guardObserver) ReplicaCrashed(replica string, requests int) {
	o.relay.metrics.backEndCrashes.Inc()
	o.relay.event(events.BackEndCrashed).Str("back_end", replica).Int("requests", requests).Send()
}

// RequestQuarantined implements crashguard.Observer.
func (o guardObserver) RequestQuarantined(signature quarantine.Signature) {
	o.relay.event(events.RequestQuarantined).Stringer("content", signature).Send()
}

// LeaderCallFailed implements crashguard.Observer.
func (o guardObserver) LeaderCallFailed(err error) {
	o.relay.metrics.guardCallsFailed.Inc()
	o.relay.event(events.GuardCallFailed).Err(err).Send()
}
