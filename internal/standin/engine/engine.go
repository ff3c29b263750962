package engine

import (
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// shutdownTimeout is how long Close waits for streams to finish.
const shutdownTimeout = 2 * time.Second

// Engine is one stand-in engine over all its incarnations. It is safe for concurrent use.
type Engine struct {
	config Config
	faults *fault.Set
	runs   *runs
	// accepted holds the orders that all incarnations accepted.
	accepted acceptedOrders

	mutex sync.Mutex
	// address is the IP:port that the first start got; later incarnations listen on it again.
	address     string
	incarnation uint64
	durable     orders.Durable
	process     *process // nil while crashed
	closed      bool
}

// Start starts an engine and returns once it listens.
func Start(config Config) (*Engine, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	engine := &Engine{
		config: config,
		faults: fault.NewSet(config.Faults...),
		runs:   newRuns(),
		durable: orders.Durable{
			Role: config.Role, Model: config.Model, Version: config.Version, Adapters: config.Adapters,
		},
		address: config.Address,
	}
	return engine, trace.Wrap(engine.Restart())
}

// Address returns the IP:port that the engine listens on.
func (e *Engine) Address() string { return e.address }

// Name returns the engine's name in the machine list.
func (e *Engine) Name() string { return e.config.Name }

// Config returns the configuration that the engine was started with.
func (e *Engine) Config() Config { return e.config }

// Faults returns the faults that are set.
func (e *Engine) Faults() *fault.Set { return e.faults }

// Restart starts the engine's process again after a Crash; it does nothing while the engine runs.
func (e *Engine) Restart() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process != nil || e.closed {
		return nil
	}
	listener, err := e.config.Listen("tcp", e.address)
	if err != nil {
		return trace.Wrap(err, "engine %s can't listen on %s", e.config.Name, e.address)
	}
	e.address = listener.Addr().String()
	e.incarnation++
	started, err := newProcess(e, e.incarnation, e.durable)
	if err != nil {
		_ = listener.Close()
		return trace.Wrap(err)
	}
	e.process = started
	started.serve(listener)
	return nil
}

// Crash ends the engine's process at once: connections are reset and everything that is not
// durable is lost. The engine stays down until Restart.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process == nil {
		return
	}
	e.durable = e.process.terminate()
	e.process = nil
}

// crashFor crashes the engine and restarts it after down.
func (e *Engine) crashFor(down time.Duration) {
	e.Crash()
	time.AfterFunc(down, func() { _ = e.Restart() }) // a closed engine stays closed
}

// Freeze suspends the engine's process for pause.
func (e *Engine) Freeze(pause time.Duration) {
	if running := e.current(); running != nil {
		running.freeze(pause)
	}
}

// StartLeaving makes the engine refuse new work for the rest of its incarnation.
func (e *Engine) StartLeaving() {
	if running := e.current(); running != nil {
		running.mutex.Lock()
		running.machine.StartLeaving()
		running.mutex.Unlock()
	}
}

// Close stops the engine permanently; streams have shutdownTimeout to finish.
func (e *Engine) Close() {
	e.mutex.Lock()
	running := e.process
	e.process = nil
	e.closed = true
	e.mutex.Unlock()
	if running != nil {
		_ = running.server.Close(shutdownTimeout) // Close resets the remaining connections in any case
		running.terminate()
	}
}

// State returns the engine's state; the second value is false while the engine is crashed.
func (e *Engine) State() (enginecontract.EngineState, bool) {
	running := e.current()
	if running == nil {
		return enginecontract.EngineState{}, false
	}
	running.mutex.Lock()
	defer running.mutex.Unlock()
	running.advance()
	return running.state(), true
}

// Load returns the engine's load without lag; the second value is false while the engine is crashed.
func (e *Engine) Load() (enginecontract.LoadReport, bool) {
	running := e.current()
	if running == nil {
		return enginecontract.LoadReport{}, false
	}
	running.mutex.Lock()
	defer running.mutex.Unlock()
	running.advance()
	return running.loadReport(), true
}

func (e *Engine) current() *process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.process
}
