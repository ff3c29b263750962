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

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/reachability"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

const (
	// pathCheckTimeout limits the attempts to connect that check whether the path to back ends is lost.
	pathCheckTimeout = 180 * time.Millisecond
	// pathCheckBackEnds is how many other back ends of the service are connected to in one check. Together with the back
	// end that failed, they are enough for a lost path.
	pathCheckBackEnds = 2
)

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
	// checkDone is closed at the end of the check in progress; nil while there is none.
	checkDone chan struct{}
}

func newPathWatch(clock clock, log *logring.Log, dialer dialing.Dial) *pathWatch {
	return &pathWatch{clock: clock, log: log, dialer: dialer, tracker: reachability.New()}
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
	timedOut := isTimeout(err)
	if isLocalShortage(err) || errors.Is(err, context.Canceled) || timedOut && took < pathCheckTimeout {
		return
	}
	listed := len(w.byService[backEnd.Service])
	failure := reachability.Failure{Service: backEnd.Service, BackEnd: xxhash.Sum64String(backEnd.Name), TimedOut: timedOut}
	if w.tracker.RecordFailed(w.clock.now(), failure, listed) {
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
	w.check(address)
	return !w.isLost(address)
}

// check connects to other back ends, to find out whether the path is lost or the back end at the given address has failed.
// While another check is in progress, it waits for the end of that one instead.
func (w *pathWatch) check(address string) {
	w.mutex.Lock()
	if inProgress := w.checkDone; inProgress != nil {
		w.mutex.Unlock()
		<-inProgress
		return
	}
	done := make(chan struct{})
	w.checkDone = done
	targets := w.checkTargetsLocked(address)
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
	defer cancel()
	var attempts sync.WaitGroup
	for _, target := range targets {
		attempts.Go(func() {
			if connection, err := w.connect(ctx, "tcp", target); err == nil {
				_ = connection.Close() // it served only as a check
			}
		})
	}
	attempts.Wait()
	w.mutex.Lock()
	w.checkDone = nil
	w.mutex.Unlock()
	close(done)
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
	return targets[:min(len(targets), pathCheckBackEnds)]
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
