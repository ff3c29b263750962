package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// queuedSignals bounds the signals that wait to be decided on; more of them in one moment are dropped by the
// system's notifier, which a series of the same kind bears.
const queuedSignals = 64

// Signals are the signals of this process.
type Signals struct {
	origin  time.Time
	reloads chan struct{}

	stopping    context.Context
	stop        context.CancelFunc
	interrupted chan struct{}

	mutex   sync.Mutex
	decider Decider
	// tell writes a line on what was done; dump writes the log's ring out. Both are nil until there is a log.
	tell func(os.Signal, Action)
	dump func()
	// early are what came before there was a log.
	early []taken
}

// taken is a signal and what was done about it.
type taken struct {
	signal os.Signal
	action Action
}

// HandleSignals takes the signals of this process from now on, and never gives them back: their default is to end it.
func HandleSignals() *Signals {
	stopping, stop := context.WithCancel(context.Background())
	made := &Signals{
		origin: time.Now(), reloads: make(chan struct{}, 1), stopping: stopping, stop: stop, interrupted: make(chan struct{}),
	}
	queue := make(chan os.Signal, queuedSignals)
	signal.Notify(queue, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE)
	go func() {
		for each := range queue {
			made.take(each)
		}
	}()
	return made
}

// WithStop returns a context that ends with the parent or when the process is asked to stop.
func (s *Signals) WithStop(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	unhook := context.AfterFunc(s.stopping, cancel)
	return ctx, func() { unhook(); cancel() }
}

// Reloads gets one entry for any number of wishes to read the settings again.
func (s *Signals) Reloads() <-chan struct{} { return s.reloads }

// Interrupted is closed when the process is to end at once.
func (s *Signals) Interrupted() <-chan struct{} { return s.interrupted }

// SetLog sets what writes lines and dumps from now on, and writes those that waited for it.
func (s *Signals) SetLog(tell func(os.Signal, Action), dump func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tell, s.dump = tell, dump
	for _, each := range s.early {
		s.report(each)
	}
	s.early = nil
}

// take does what a signal asks for.
func (s *Signals) take(received os.Signal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	action := s.decider.Decide(received, time.Since(s.origin))
	s.report(taken{received, action})
	switch action {
	case Stop:
		s.stop()
	case Reload:
		select {
		case s.reloads <- struct{}{}:
		default: // one wish waits already
		}
	case Interrupted:
		select {
		case <-s.interrupted:
		default:
			close(s.interrupted)
		}
	}
}

// report writes a line, and the ring where that is asked for. The mutex is held.
func (s *Signals) report(each taken) {
	if s.tell == nil {
		if len(s.early) < queuedSignals {
			s.early = append(s.early, each)
		}
		return
	}
	if each.action == Ignored {
		return // the line would go where nobody reads
	}
	s.tell(each.signal, each.action)
	if each.action == Dump {
		s.dump()
	}
}
