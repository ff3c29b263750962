package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// queuedSignals limits the signals that wait for a decision. If more arrive at once, os/signal drops them, which is
// harmless for a series of the same signal.
const queuedSignals = 64

// Signals handles the signals of this process.
type Signals struct {
	origin  time.Time
	reloads chan struct{}

	stopContext context.Context
	stop        context.CancelFunc
	interrupted chan struct{}

	mutex   sync.Mutex
	decider Decider
	// logAction logs a signal and its action; dumpLog writes the log's ring buffer out. Both are nil until SetLog.
	logAction func(os.Signal, Action)
	dumpLog   func()
	// unlogged are the signals handled before SetLog.
	unlogged []handledSignal
}

// handledSignal is a signal and the action taken.
type handledSignal struct {
	signal os.Signal
	action Action
}

// HandleSignals starts to handle the signals of this process, for the rest of its lifetime: by default, most of them
// would end it.
func HandleSignals() *Signals {
	stopping, stop := context.WithCancel(context.Background())
	signals := &Signals{
		origin: time.Now(), reloads: make(chan struct{}, 1), stopContext: stopping, stop: stop, interrupted: make(chan struct{}),
	}
	queue := make(chan os.Signal, queuedSignals)
	signal.Notify(queue, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE)
	go func() {
		for received := range queue {
			signals.handle(received)
		}
	}()
	return signals
}

// WithStop returns a context that is canceled with its parent or when the process is to stop.
func (s *Signals) WithStop(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	detach := context.AfterFunc(s.stopContext, cancel)
	return ctx, func() { detach(); cancel() }
}

// Reloads returns a channel that receives one value for any number of pending requests to reload the settings.
func (s *Signals) Reloads() <-chan struct{} { return s.reloads }

// Interrupted returns a channel that is closed when the process must end at once.
func (s *Signals) Interrupted() <-chan struct{} { return s.interrupted }

// SetLog sets the functions that log signals and dump the log, and logs the signals handled so far.
func (s *Signals) SetLog(logAction func(os.Signal, Action), dumpLog func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.logAction, s.dumpLog = logAction, dumpLog
	for _, handled := range s.unlogged {
		s.report(handled)
	}
	s.unlogged = nil
}

// handle carries out the action for a signal.
func (s *Signals) handle(received os.Signal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	action := s.decider.Decide(received, time.Since(s.origin))
	s.report(handledSignal{received, action})
	switch action {
	case Stop:
		s.stop()
	case Reload:
		select {
		case s.reloads <- struct{}{}:
		default: // a reload is pending already
		}
	case Interrupted:
		select {
		case <-s.interrupted:
		default:
			close(s.interrupted)
		}
	}
}

// report logs the signal, and dumps the log if the action is Dump. The mutex must be held.
func (s *Signals) report(handled handledSignal) {
	if s.logAction == nil {
		if len(s.unlogged) < queuedSignals {
			s.unlogged = append(s.unlogged, handled)
		}
		return
	}
	if handled.action == Ignored {
		return // the process's output has no reader, so the line would be lost
	}
	s.logAction(handled.signal, handled.action)
	if handled.action == Dump {
		s.dumpLog()
	}
}
