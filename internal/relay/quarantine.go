package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// endWait is how long a request waits, before it is sent to another back end, until the controllers have
// agreed on the end of the one that broke it off.
const endWait = 300 * time.Millisecond

// reasonHeld is why a request is refused under which back ends have ended.
const reasonHeld = "back ends have ended while they ran this request"

// newGuard makes the guard of a relay.
func newGuard(relay *Relay) *crashguard.Guard {
	leader := crashguard.LeaderClient{Client: relay.watcher.LeaderClient}
	return crashguard.New(crashguard.Options{
		Leader: leader, Now: relay.clock.now, Probe: relay.probe, Observer: guardObserver{relay},
	})
}

// admitHeld refuses a request that must not run. It reports whether the request goes on.
func (r *Relay) admitHeld(request *request, reply *replier) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	switch r.guard.Admit(ctx, request.signature) {
	case crashguard.Quarantined:
		r.finishRefused(&attempts{relay: r, request: request, held: true}, reply)
		return false
	case crashguard.Trial:
		request.trial = true
		r.log.trial(request)
	}
	return true
}

// noteBroken lets the guard find out whether a back end has ended that broke a request off. Where the
// request may go on, that is awaited.
func (a *attempts) noteBroken(backEnd *backEnd, fault *failure) {
	relay, request := a.relay, a.request
	if !fault.arrived || backEnd.leaving() {
		return
	}
	if errors.Is(fault, errStalled) || errors.Is(fault, errSilent) {
		relay.guard.RecordSilentRun(request.signature, backEnd.ID)
		return
	}
	if !errors.Is(fault, errBroken) {
		return
	}
	replica := crashguard.Replica{ID: backEnd.ID, Name: backEnd.ExpectedID(), Address: backEnd.Address}
	if !request.route.Repeatable() || a.sent >= request.route.MaxAttempts {
		go relay.guard.RecordBrokenRun(request.signature, replica, 0)
		return
	}
	a.held = relay.guard.RecordBrokenRun(request.signature, replica, min(endWait, request.deadline-relay.clock.now()))
}

// noteEnded tells the guard that nothing serves at a back end's address, or another one.
func (r *Relay) noteEnded(backEnd *backEnd, fault *failure) {
	refused := errors.Is(fault, errDial) && errors.Is(fault, syscall.ECONNREFUSED)
	if refused || errors.Is(fault, errMisdirected) {
		r.guard.RecordCrash(backEnd.ID)
	}
}

// probe looks whether a back end takes connections; one that was opened is used later. A start in whose place the
// list shows another one has ended, whoever serves there: the list may show that before the connections break.
func (r *Relay) probe(_ context.Context, replica crashguard.Replica) crashguard.ProbeResult {
	known := r.backEndOf(replica.ID)
	if known == nil && r.isReplaced(replica) {
		return crashguard.ProbeGone
	}
	if known == nil { // the list does not show it any more: its pool is closed
		known = newBackEnd(serving.BackEnd{ID: replica.ID, Address: replica.Address}, 0)
		known.pool.Close()
	}
	connection, err := r.exchanger.open(known, dialTimeout)
	if err == nil {
		known.pool.Put(connection, r.clock.now())
	}
	return crashguard.ProbeResultOf(err)
}

// isReplaced reports whether the list shows another start at a back end's address, or under its identity.
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

// noteReplaced tells the guard of back ends whose address, or whose identity, another start has by now.
func (r *Relay) noteReplaced(gone []*backEnd, present map[string]*backEnd) {
	if len(gone) == 0 {
		return
	}
	taken, started := make(map[string]bool, len(present)), make(map[string]bool, len(present))
	for _, backEnd := range present {
		taken[backEnd.Address] = true
		started[backEnd.ExpectedID()] = true
	}
	for _, backEnd := range gone {
		if taken[backEnd.Address] || started[backEnd.ExpectedID()] {
			r.guard.RecordCrash(backEnd.ID)
		}
	}
}

// backEndOf returns a back end of the list; nil when the list does not show it.
func (r *Relay) backEndOf(id string) *backEnd {
	for _, backEnds := range r.view.Load().byService {
		for _, backEnd := range backEnds {
			if backEnd.ID == id {
				return backEnd
			}
		}
	}
	return nil
}

// guardObserver writes lines and counts of what the guard finds.
type guardObserver struct{ relay *Relay }

// ReplicaCrashed implements crashguard.Observer.
func (o guardObserver) ReplicaCrashed(replica string, requests int) {
	o.relay.metrics.replicaEnds.Inc()
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
