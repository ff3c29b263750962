package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/reachability"
)

const (
	// pathCheckTimeout limits the attempts to connect that check whether the path to back ends is lost. It is shorter than
	// dialTimeout, so that the result is known when the attempt that caused the check times out.
	pathCheckTimeout = 180 * time.Millisecond
	// pathCheckDelay is how long an attempt to connect may take before the path is checked. Sound back ends accept
	// connections within a few milliseconds.
	pathCheckDelay = 100 * time.Millisecond
	// lostPathCheckInterval is the interval between attempts to connect to a service while the path to it is lost.
	lostPathCheckInterval = 250 * time.Millisecond
	// failureConfirmTime is how long a failed attempt may be confirmed as a failure of its back end: as long as a check lasts
	// that had to wait for another one. Later successes say nothing about the path at the time of the failure.
	failureConfirmTime = 500 * time.Millisecond
)

// pathWatch finds out whether this relay has lost its network path to the back ends of a service, although they may be sound
// and in reach of other relays. A failed attempt to connect is announced to others, as a failure of the back end, only once
// an attempt at another back end has succeeded.
type pathWatch struct {
	relay *Relay

	mutex   sync.Mutex
	tracker *reachability.Tracker
	// unconfirmed are the failed attempts of the last failureConfirmTime that no success has confirmed yet, by back end.
	unconfirmed map[*backEnd]failedDial
	// checkDone is closed at the end of the check in progress; nil while there is none.
	checkDone chan struct{}
}

// failedDial is a failed attempt to connect to a back end.
type failedDial struct {
	backEnd *backEnd
	at      time.Duration
	// isRefused is true if nothing listens at the back end's address.
	isRefused bool
}

func newPathWatch(relay *Relay) *pathWatch {
	return &pathWatch{relay: relay, tracker: reachability.New(), unconfirmed: map[*backEnd]failedDial{}}
}

// pathTo returns the state of the path to a service.
func (w *pathWatch) pathTo(service string) reachability.Path {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tracker.PathTo(service)
}

// recordOpened records that a back end was connected to. Recent failures at others, also of other services, were then failures
// of their back ends: a connection to any back end shows that this relay's network works.
func (w *pathWatch) recordOpened(backEnd *backEnd) {
	w.mutex.Lock()
	isRestored := w.tracker.RecordOpened(backEnd.Service)
	delete(w.unconfirmed, backEnd)
	confirmed := w.takeUnconfirmed()
	w.mutex.Unlock()
	if isRestored {
		w.relay.event(events.PathRestored).Str("service", backEnd.Service).Send()
	}
	for _, failed := range confirmed {
		w.announce(failed)
	}
}

// takeUnconfirmed removes the unconfirmed failures, and returns the recent ones. The mutex must be held.
func (w *pathWatch) takeUnconfirmed() []failedDial {
	w.dropExpired()
	taken := slices.Collect(maps.Values(w.unconfirmed))
	clear(w.unconfirmed)
	return taken
}

// dropExpired removes the unconfirmed failures that can be confirmed no more. The mutex must be held.
func (w *pathWatch) dropExpired() {
	now := w.relay.clock.now()
	maps.DeleteFunc(w.unconfirmed, func(_ *backEnd, failed failedDial) bool { return now-failed.at > failureConfirmTime })
}

// announce notifies other relays and the crash guard of a failed attempt to connect to a back end.
func (w *pathWatch) announce(failed failedDial) {
	w.relay.notices.queueFailure(failed.backEnd)
	if failed.isRefused {
		w.relay.guard.RecordCrash(failed.backEnd.ID)
	}
}

// recordFailed records a failed attempt to connect to a back end. It reports whether a check must find out if the path is lost.
func (w *pathWatch) recordFailed(backEnd *backEnd, err error) (mustCheck bool) {
	if isLocalShortage(err) {
		return false
	}
	failure := reachability.Failure{Service: backEnd.Service, BackEnd: backEnd.incarnationHash, TimedOut: dialOutcomeOf(err) == dialTimedOut}
	candidates := w.openBackEnds(backEnd.Service)
	now := w.relay.clock.now()
	w.mutex.Lock()
	isLost := w.tracker.RecordFailed(now, failure, len(candidates))
	path := w.tracker.PathTo(backEnd.Service)
	w.dropExpired()
	if path.IsLost {
		w.dropUnconfirmedOf(backEnd.Service)
	} else {
		w.unconfirmed[backEnd] = failedDial{backEnd: backEnd, at: now, isRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	w.mutex.Unlock()
	if isLost {
		w.handleLoss(backEnd.Service, path, candidates)
	}
	return !path.IsLost
}

// dropUnconfirmedOf removes the unconfirmed failures of a service's back ends. The mutex must be held.
func (w *pathWatch) dropUnconfirmedOf(service string) {
	maps.DeleteFunc(w.unconfirmed, func(failed *backEnd, _ failedDial) bool { return failed.Service == service })
}

// handleLoss withdraws what was concluded about back ends from failed attempts to connect to them.
func (w *pathWatch) handleLoss(service string, path reachability.Path, backEnds []*backEnd) {
	w.relay.event(events.PathLost).Str("service", service).Bool("silent", path.IsSilent).Int("back_ends", len(backEnds)).Send()
	for _, backEnd := range backEnds {
		backEnd.clearFailures()
		if path.IsSilent {
			backEnd.pool.CloseIdle() // nothing would arrive on them either
		}
	}
}

// check connects to other back ends, to find out whether the path is lost or the given back end has failed. While another
// check is in progress, it waits for the end of that one, and checks only if a failure of the back end is still unconfirmed.
func (w *pathWatch) check(failed *backEnd) {
	done, inProgress := w.beginCheck(failed, false)
	if inProgress != nil {
		<-inProgress
		done, _ = w.beginCheck(failed, true)
	}
	if done == nil {
		return
	}
	defer close(done)
	others := w.checkTargets(failed)
	var opened atomic.Bool
	var attempts sync.WaitGroup
	for _, other := range others {
		attempts.Go(func() {
			if w.connect(other) {
				opened.Store(true)
			}
		})
	}
	attempts.Wait()
	w.mutex.Lock()
	w.checkDone = nil
	var confirmed []failedDial
	if opened.Load() || len(others) == 0 { // without others, there is nothing to compare the back end with
		confirmed = w.takeUnconfirmed()
	}
	w.mutex.Unlock()
	for _, each := range confirmed {
		w.announce(each)
	}
}

// beginCheck begins a check unless the path is lost or, with onlyUnconfirmed, no failure of the back end is unconfirmed. The
// caller must close done, which is nil if it must not check. inProgress is closed at the end of another check that is in progress.
func (w *pathWatch) beginCheck(failed *backEnd, onlyUnconfirmed bool) (done, inProgress chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.checkDone != nil:
		return nil, w.checkDone
	case w.tracker.PathTo(failed.Service).IsLost, onlyUnconfirmed && !w.isUnconfirmed(failed):
		return nil, nil
	}
	w.checkDone = make(chan struct{})
	return w.checkDone, nil
}

// isConfirmed reports whether a check has confirmed the last failed attempt at a back end, which need not be listed.
func (w *pathWatch) isConfirmed(backEnd *backEnd) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.tracker.PathTo(backEnd.Service).IsLost && !w.isUnconfirmed(backEnd)
}

// isUnconfirmed reports whether a failure of the back end is unconfirmed. The mutex must be held.
func (w *pathWatch) isUnconfirmed(backEnd *backEnd) bool {
	_, isUnconfirmed := w.unconfirmed[backEnd]
	return isUnconfirmed
}

// checkTargets returns the back ends to which a check connects: some of the same service and one of another service.
func (w *pathWatch) checkTargets(failed *backEnd) []*backEnd {
	var targets []*backEnd
	open := w.shuffled(w.openBackEnds(failed.Service))
	required := reachability.RequiredFailures(len(open)) // together with the back end that failed
	for _, backEnd := range open {
		if backEnd != failed && len(targets)+1 < required {
			targets = append(targets, backEnd)
		}
	}
	for service := range w.relay.view.Load().byService {
		if others := w.shuffled(w.openBackEnds(service)); service != failed.Service && len(others) > 0 {
			return append(targets, others[0])
		}
	}
	return targets
}

// connect opens a connection to a back end and keeps it for later requests. It reports whether it was opened. The outcome is
// recorded by the exchanger.
func (w *pathWatch) connect(backEnd *backEnd) bool {
	connection, _, err := w.relay.exchanger.openWithoutCheck(backEnd, pathCheckTimeout)
	if err == nil {
		backEnd.pool.Put(connection, w.relay.clock.now())
	}
	return err == nil
}

// openBackEnds returns the listed back ends of a service that are not leaving.
func (w *pathWatch) openBackEnds(service string) []*backEnd {
	var open []*backEnd
	for _, backEnd := range w.relay.view.Load().byService[service] {
		if !backEnd.isLeaving() {
			open = append(open, backEnd)
		}
	}
	return open
}

// shuffled returns the back ends in random order.
func (w *pathWatch) shuffled(backEnds []*backEnd) []*backEnd {
	for index := len(backEnds) - 1; index > 0; index-- {
		other := int(w.relay.draw() * float64(index+1))
		backEnds[index], backEnds[other] = backEnds[other], backEnds[index]
	}
	return backEnds
}

// run connects regularly to the services to which the path is lost, until the context ends.
func (w *pathWatch) run(ctx context.Context) {
	for pause.For(ctx, lostPathCheckInterval) {
		w.mutex.Lock()
		w.tracker.Retain(func(service string) bool { return len(w.relay.view.Load().byService[service]) > 0 })
		lost := w.tracker.LostServices()
		w.mutex.Unlock()
		for _, service := range lost {
			if backEnds := w.shuffled(w.openBackEnds(service)); len(backEnds) > 0 {
				go w.connect(backEnds[0])
			}
		}
	}
}

// isLocalShortage reports whether an attempt to connect failed for want of a resource of this process or machine, which says
// nothing about the path.
func isLocalShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS)
}
