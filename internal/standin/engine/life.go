package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// life is one run of the engine's process: what a crash loses.
type life struct {
	engine *Engine
	origin time.Time
	client *fasthttp.Client
	server *crashable.Server
	ctx    context.Context
	cancel context.CancelFunc
	driven chan struct{} // closed when the driver has ended

	// wake has room for one signal: something changed that the driver must see.
	wake chan struct{}

	mutex     sync.Mutex
	model     *enginemodel.Engine
	machine   *orders.Machine
	phase     enginecontract.OrderPhase // as last seen by advance
	exchanges map[string]*exchange
	open      int           // exchanges that are not over
	tidied    time.Duration // when forget last ran
	handles   map[string]*kvHandle
	loads     loadHistory
	cache     cacheHistory
	dead      bool
	// thaw is closed when a freeze ends; nil while the process runs.
	thaw   chan struct{}
	frozen time.Duration // time spent frozen
}

func newLife(engine *Engine, incarnation uint64, kept orders.Durable) (*life, error) {
	config := engine.config
	model, err := enginemodel.New(config.Profile, kept.Role, enginemodel.WithTokenEvents())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &life{
		engine: engine,
		origin: time.Now(),
		client: &fasthttp.Client{NoDefaultUserAgentHeader: true, Dial: config.Dial},
		ctx:    ctx,
		cancel: cancel,
		driven: make(chan struct{}),
		wake:   make(chan struct{}, 1),
		model:  model,
		machine: orders.New(orders.Config{
			Engine: config.Name, Service: config.Service, Zone: config.Zone, Incarnation: incarnation,
			RoleChange: config.Profile.RoleChange, WeightLoad: config.Profile.WeightLoad,
			AdapterLoad: config.Profile.AdapterLoad, ExternalWeights: config.WeightStore != "",
			Safeguards: config.Safeguards,
		}, kept),
		phase:     kept.Phase,
		exchanges: make(map[string]*exchange),
		handles:   make(map[string]*kvHandle),
	}, nil
}

func (l *life) serve(listener net.Listener) {
	l.server = crashable.Start(listener, l.handle)
	go l.drive()
}

// end breaks everything and returns what the disk holds.
func (l *life) end() orders.Durable {
	l.cancel()
	l.mutex.Lock()
	l.dead = true
	if l.thaw != nil {
		close(l.thaw)
		l.thaw = nil
	}
	kept := l.machine.Durable()
	l.mutex.Unlock()
	l.server.Crash()
	<-l.driven
	return kept
}

// now is the time the process has run, without freezes. The mutex is held.
func (l *life) now() time.Duration { return time.Since(l.origin) - l.frozen }

func (l *life) freeze(pause time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.thaw != nil || l.dead {
		return
	}
	l.advance()
	thaw := make(chan struct{})
	l.thaw = thaw
	began := time.Now()
	time.AfterFunc(pause, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.thaw == thaw {
			l.frozen += time.Since(began)
			l.thaw = nil
			close(thaw)
		}
	})
}

// lockThawed takes the mutex once the process isn't frozen.
func (l *life) lockThawed() {
	for {
		l.mutex.Lock()
		thaw := l.thaw
		if thaw == nil {
			return
		}
		l.mutex.Unlock()
		<-thaw
	}
}

func (l *life) state() enginecontract.EngineState { return l.machine.State(l.inFlight()) }

// inFlight counts what a change would cut: sequences, and caches not fetched yet.
func (l *life) inFlight() int { return l.open + len(l.handles) }

func (l *life) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *life) takeFault(kind fault.Kind) (fault.Fault, bool) { return l.engine.faults.Strike(kind) }

// dialFrom dials from the IP of an address, so that the fleet knows the caller's zone.
func dialFrom(address string) fasthttp.DialFunc {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fasthttp.Dial
	}
	dialer := &fasthttp.TCPDialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return dialer.Dial
}
