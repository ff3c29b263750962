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
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// process is one incarnation of the engine: the state that a crash loses.
type process struct {
	engine     *Engine
	origin     time.Time
	client     *fasthttp.Client
	server     *crashable.Server
	ctx        context.Context
	cancel     context.CancelFunc
	driverDone chan struct{} // closed when the driver has returned

	// wake makes the driver look for due events again after a change from outside. It holds one signal, which covers any
	// number of changes.
	wake chan struct{}

	mutex         sync.Mutex
	model         *enginemodel.Engine
	machine       *orders.Machine
	phase         enginecontract.OrderPhase // as last seen by applyOrderProgress
	exchanges     map[string]*exchange
	openExchanges int           // exchanges that are not over
	lastPruned    time.Duration // when prune last ran
	handles       map[string]*kvHandle
	loads         loadHistory
	cache         cacheHistory
	dead          bool
	// thaw is closed when a freeze ends; nil while the process is not frozen.
	thaw       chan struct{}
	frozenTime time.Duration // total time spent frozen
}

func newProcess(engine *Engine, incarnation uint64, durable orders.Durable) (*process, error) {
	config := engine.config
	model, err := enginemodel.New(config.Profile, durable.Role, enginemodel.WithTokenEvents())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &process{
		engine:     engine,
		origin:     time.Now(),
		client:     &fasthttp.Client{NoDefaultUserAgentHeader: true, Dial: checkedconn.FastDial(config.Dial)},
		ctx:        ctx,
		cancel:     cancel,
		driverDone: make(chan struct{}),
		wake:       make(chan struct{}, 1),
		model:      model,
		machine: orders.New(orders.Config{
			Engine: config.Name, Service: config.Service, Zone: config.Zone, Incarnation: incarnation,
			RoleChange: config.Profile.RoleChange, WeightLoad: config.Profile.WeightLoad,
			AdapterLoad: config.Profile.AdapterLoad, ExternalWeights: config.WeightStore != "",
			Safeguards: config.Safeguards,
		}, durable),
		phase:     durable.Phase,
		exchanges: make(map[string]*exchange),
		handles:   make(map[string]*kvHandle),
	}, nil
}

func (p *process) serve(listener net.Listener) {
	p.server = crashable.Start(listener, p.handle)
	go p.drive()
}

// terminate resets all connections, stops the driver and returns the durable state.
func (p *process) terminate() orders.Durable {
	p.cancel()
	p.mutex.Lock()
	p.dead = true
	if p.thaw != nil {
		close(p.thaw)
		p.thaw = nil
	}
	durable := p.machine.Durable()
	p.mutex.Unlock()
	p.server.Crash()
	<-p.driverDone
	return durable
}

// now returns the time that the process has run, without freezes. The caller holds the mutex.
func (p *process) now() time.Duration { return time.Since(p.origin) - p.frozenTime }

func (p *process) freeze(pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.thaw != nil || p.dead {
		return
	}
	p.advance()
	thaw := make(chan struct{})
	p.thaw = thaw
	began := time.Now()
	time.AfterFunc(pause, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.thaw == thaw {
			p.frozenTime += time.Since(began)
			p.thaw = nil
			close(thaw)
		}
	})
}

// lockThawed locks the mutex, after waiting for the end of a freeze.
func (p *process) lockThawed() {
	for {
		p.mutex.Lock()
		thaw := p.thaw
		if thaw == nil {
			return
		}
		p.mutex.Unlock()
		<-thaw
	}
}

func (p *process) state() enginecontract.EngineState { return p.machine.State(p.inFlight()) }

// inFlight counts the work that a change would cut: open exchanges and KV caches not fetched yet.
func (p *process) inFlight() int { return p.openExchanges + len(p.handles) }

func (p *process) wakeDriver() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *process) strikeFault(kind fault.Kind) (fault.Fault, bool) {
	return p.engine.faults.Strike(kind)
}

// dialFrom returns a dialer that uses the IP of address as the source; the fleet derives the caller's zone from it.
func dialFrom(address string) fasthttp.DialFunc {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fasthttp.Dial
	}
	dialer := &fasthttp.TCPDialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return dialer.Dial
}
