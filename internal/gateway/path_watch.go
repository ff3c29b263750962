package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/reachability"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

const (
	// pathCheckTimeout limits the attempts to connect that check whether the path to back ends is lost.
	pathCheckTimeout = 180 * time.Millisecond
	// pathCheckDelay is how long an attempt to connect may take before the path is checked. Sound back ends accept
	// connections within a few milliseconds.
	pathCheckDelay = 100 * time.Millisecond
	// lostPathCheckInterval is the interval between attempts to connect to a service while the path to it is lost.
	lostPathCheckInterval = 250 * time.Millisecond
	// lostPathRetryAfter is the retry time for callers while the path is lost. It is several lostPathCheckIntervals, so that
	// callers who return then are served if the path is back.
	lostPathRetryAfter = time.Second
)

// errPathLost means that a connection was not opened because the path to the back ends of the service is lost.
var errPathLost = errors.New("no back end of the service can be connected to from this gateway")

// pathWatch finds out whether this gateway has lost its network path to the back ends of a service, although they may be
// sound and in reach of other gateways. It is safe for concurrent use.
type pathWatch struct {
	clock  clock
	log    *logring.Log
	dialer dialing.Dial

	mutex   sync.Mutex
	tracker *reachability.Tracker
	// byAddress are the listed back ends, byService those of them that serve.
	byAddress map[string]routing.BackEnd
	byService map[string][]routing.BackEnd
	// changed is closed, and replaced, when a path is lost.
	changed chan struct{}
	// closeIdle closes idle connections; nil if there are none.
	closeIdle func()
	// checks holds, for each service with a check in progress, a channel that is closed at its end.
	checks map[string]chan struct{}
}

func newPathWatch(clock clock, log *logring.Log, dialer dialing.Dial) *pathWatch {
	return &pathWatch{clock: clock, log: log, dialer: dialer, tracker: reachability.New(), changed: make(chan struct{}), checks: map[string]chan struct{}{}}
}

// setBackEnds replaces the list of back ends.
func (w *pathWatch) setBackEnds(backEnds []routing.BackEnd) {
	byAddress, byService := map[string]routing.BackEnd{}, map[string][]routing.BackEnd{}
	for _, backEnd := range backEnds {
		byAddress[backEnd.Address] = backEnd
		if backEnd.State == enginecontract.StateServing {
			byService[backEnd.Service] = append(byService[backEnd.Service], backEnd)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byAddress, w.byService = byAddress, byService
	w.tracker.Retain(func(service string) bool { return len(byService[service]) > 0 })
}

// dial opens a connection to a back end for requests. It fails at once while the path to the back end's service is lost, also
// when that is found out in the meantime.
func (w *pathWatch) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if w.isLost(address) {
		return nil, trace.Wrap(errPathLost)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan dialResult, 1)
	go func() {
		connection, err := w.connect(ctx, network, address)
		done <- dialResult{connection, err}
	}()
	slow := time.AfterFunc(pathCheckDelay, func() { w.check(address, true) })
	defer slow.Stop()
	for {
		changed := w.lossSignal()
		if w.isLost(address) {
			cancel()
			go closeLate(done)
			return nil, trace.Wrap(errPathLost)
		}
		select {
		case <-changed:
		case result := <-done:
			if result.err != nil && ctx.Err() == nil && !isLocalShortage(result.err) && !w.isBackEndFault(address) {
				return nil, trace.Wrap(errPathLost)
			}
			return result.connection, result.err
		}
	}
}

// dialResult is the result of an attempt to connect.
type dialResult struct {
	connection net.Conn
	err        error
}

// closeLate closes the connection that an abandoned attempt to connect may still open.
func closeLate(done <-chan dialResult) {
	if result := <-done; result.err == nil {
		_ = result.connection.Close() // nothing was sent on it
	}
}

// lossSignal returns a channel that is closed when a path is lost.
func (w *pathWatch) lossSignal() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changed
}

// run connects regularly to the services to which the path is lost, until the context ends.
func (w *pathWatch) run(ctx context.Context) {
	for pause.For(ctx, lostPathCheckInterval) {
		w.mutex.Lock()
		var targets []string
		for _, service := range w.tracker.LostServices() {
			if backEnds := w.byService[service]; len(backEnds) > 0 {
				targets = append(targets, backEnds[rand.IntN(len(backEnds))].Address)
			}
		}
		w.mutex.Unlock()
		w.connectAll(targets)
	}
}

// connect opens a connection to a back end and records the outcome.
func (w *pathWatch) connect(ctx context.Context, network, address string) (net.Conn, error) {
	began := w.clock.now()
	connection, err := w.dialer(ctx, network, address)
	w.record(address, err, w.clock.now()-began)
	return connection, err
}

// record records the outcome of an attempt to connect that took the given time.
func (w *pathWatch) record(address string, err error, took time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	backEnd, isListed := w.byAddress[address]
	if !isListed {
		return
	}
	if err == nil {
		if w.tracker.RecordOpened(backEnd.Service) {
			w.log.Info().Str(events.FieldEvent, string(events.PathRestored)).Str("service", backEnd.Service).Send()
		}
		return
	}
	if backEnd.State != enginecontract.StateServing {
		return // it may have stopped as planned
	}
	timedOut := isTimeout(err)
	if isLocalShortage(err) || errors.Is(err, context.Canceled) || timedOut && took < pathCheckTimeout {
		return
	}
	listed := len(w.byService[backEnd.Service])
	failure := reachability.Failure{Service: backEnd.Service, BackEnd: xxhash.Sum64String(backEnd.Name), TimedOut: timedOut}
	if w.tracker.RecordFailed(w.clock.now(), failure, listed) {
		close(w.changed)
		w.changed = make(chan struct{})
		if w.tracker.PathTo(backEnd.Service).IsSilent && w.closeIdle != nil {
			go w.closeIdle() // nothing would arrive on idle connections either
		}
		w.log.Warn().Str(events.FieldEvent, string(events.PathLost)).Str("service", backEnd.Service).
			Bool("silent", w.tracker.PathTo(backEnd.Service).IsSilent).Int("back_ends", listed).Send()
	}
}

// isLost reports whether the path to the service of the back end at an address is lost.
func (w *pathWatch) isLost(address string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tracker.PathTo(w.byAddress[address].Service).IsLost
}

// isBackEndFault waits for a check of the path after a failed attempt to connect to a back end. It returns false if the path
// is lost, so that the failure says nothing about the back end.
func (w *pathWatch) isBackEndFault(address string) bool {
	w.check(address, false)
	return !w.isLost(address)
}

// check connects to other back ends, to find out whether the path is lost or the back end at the given address has failed. It
// also connects to that back end if an attempt to do so is still pending. While another check of the service is in progress,
// it waits for the end of that one instead.
func (w *pathWatch) check(address string, isPending bool) {
	w.mutex.Lock()
	service := w.byAddress[address].Service
	if inProgress := w.checks[service]; inProgress != nil {
		w.mutex.Unlock()
		<-inProgress
		return
	}
	done := make(chan struct{})
	w.checks[service] = done
	targets := w.checkTargetsLocked(address)
	w.mutex.Unlock()
	if isPending {
		targets = append(targets, address)
	}
	w.connectAll(targets)
	w.mutex.Lock()
	delete(w.checks, service)
	w.mutex.Unlock()
	close(done)
}

// connectAll connects to back ends, to find out whether that is possible.
func (w *pathWatch) connectAll(addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
	defer cancel()
	var attempts sync.WaitGroup
	for _, address := range addresses {
		attempts.Go(func() {
			if connection, err := w.connect(ctx, "tcp", address); err == nil {
				_ = connection.Close() // it served only as a check
			}
		})
	}
	attempts.Wait()
}

// checkTargetsLocked returns the addresses to which a check connects: random other back ends of the same service. The mutex
// must be held.
func (w *pathWatch) checkTargetsLocked(address string) []string {
	var targets []string
	for _, backEnd := range w.byService[w.byAddress[address].Service] {
		if backEnd.Address != address {
			targets = append(targets, backEnd.Address)
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	others := reachability.RequiredFailures(len(targets)+1) - 1 // together with the back end that failed
	return targets[:min(len(targets), max(others, 0))]
}

// isTimeout reports whether nothing answered an attempt to connect.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// isLocalShortage reports whether an attempt to connect failed for want of a resource of this process or machine, which says
// nothing about the path.
func isLocalShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS)
}
