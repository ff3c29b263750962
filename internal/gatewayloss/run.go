package gatewayloss

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

const (
	// warmUp is how long the load runs before the first fault.
	warmUp = 3 * time.Second
	// downDuration is how long a killed process stays down.
	downDuration = time.Second
	// busyEngineTimeout limits the wait for an engine with work in flight before an engine fault.
	busyEngineTimeout = 5 * time.Second
	busyEnginePoll    = 2 * time.Millisecond
	// readyTimeout limits the wait for a gateway or engine to serve again.
	readyTimeout = 30 * time.Second
)

// Options configure a run.
type Options struct {
	// Fleet is running, and its declarations have been applied.
	Fleet *fleet.Fleet
	// Load is sent from before the first fault until after the last; its length is the
	// maximum length of the run.
	Load load.Options
	// Rounds is how often the sequence of faults is repeated.
	Rounds int
	// FaultInterval is the time between two faults.
	FaultInterval time.Duration
	// PageDelay is added to the service time of page services, so that faults hit requests in flight.
	PageDelay time.Duration
	// Progress receives a line for each fault.
	Progress io.Writer
}

// run is the state of one run.
type run struct {
	options  Options
	gateways []*fleet.Process
	outages  []outage
	report   Report

	mutex   sync.Mutex
	results []load.Result
}

// Run stops gateways and engines in sequence and returns a report. An error means that the
// run could not continue; violated guarantees are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, gateways: options.Fleet.ProcessesOf(fleet.RoleGateway)}
	if len(r.gateways) < 2 {
		return Report{}, trace.BadParameter("the deployment has %d gateways; at least 2 are needed", len(r.gateways))
	}
	for _, page := range options.Fleet.StandIns.Pages {
		page.Faults().Replace([]fault.Fault{{Kind: fault.Late, Count: fault.Always, DelayMs: options.PageDelay.Milliseconds()}})
	}
	options.Load.OnResult = r.addResult
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	type outcome struct {
		report load.Report
		err    error
	}
	sent := make(chan outcome, 1)
	go func() {
		report, err := load.Run(sending, options.Load)
		sent <- outcome{report, err}
	}()
	faultErr := r.injectFaults(ctx)
	stopSending()
	ended := <-sent
	if faultErr != nil || ended.err != nil {
		return Report{}, trace.NewAggregate(faultErr, ended.err)
	}
	r.report.Load = ended.report
	r.report.addResults(r.results, r.outages)
	return r.report, nil
}

func (r *run) addResult(result load.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results = append(r.results, result)
}

// injectFaults injects all faults in sequence.
func (r *run) injectFaults(ctx context.Context) error {
	if !pause.For(ctx, warmUp) {
		return trace.Wrap(ctx.Err())
	}
	for round := range r.options.Rounds {
		gateway := r.gateways[round%len(r.gateways)]
		for _, inject := range []func() error{
			func() error { return r.loseGateway(ctx, killGateway, gateway) },
			func() error { return r.loseEngine(ctx) },
			func() error { return r.loseGateway(ctx, stopGateway, gateway) },
		} {
			if err := inject(); err != nil {
				return trace.Wrap(err)
			}
			if !pause.For(ctx, r.options.FaultInterval) {
				return trace.Wrap(ctx.Err())
			}
		}
	}
	return nil
}

// loseGateway kills or stops a gateway and restarts it.
func (r *run) loseGateway(ctx context.Context, kind faultKind, gateway *fleet.Process) error {
	injected := Fault{Kind: string(kind), Target: gateway.Name, InFlight: inFlight(gateway), Clean: true}
	period := outage{fault: kind, gateway: gateway.Listen, from: time.Now()}
	if kind == killGateway {
		gateway.Kill()
		pause.For(ctx, downDuration)
	} else {
		injected.Clean = gateway.Stop()
	}
	if err := gateway.Start(); err != nil {
		return trace.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := gateway.WaitReady(limited); err != nil {
		return trace.Wrap(err)
	}
	period.until = time.Now()
	r.outages = append(r.outages, period)
	r.recordFault(injected, period.until.Sub(period.from))
	return nil
}

// loseEngine crashes the engine with the most work in flight and restarts it.
func (r *run) loseEngine(ctx context.Context) error {
	chosen, most := r.busiestEngine()
	for waited := time.Duration(0); most == 0 && waited < busyEngineTimeout && pause.For(ctx, busyEnginePoll); waited += busyEnginePoll {
		chosen, most = r.busiestEngine()
	}
	began := time.Now()
	chosen.Crash()
	pause.For(ctx, downDuration)
	if err := restart(ctx, chosen); err != nil {
		return trace.Wrap(err)
	}
	r.recordFault(Fault{Kind: string(killEngine), Target: chosen.Name(), InFlight: most, Clean: true}, time.Since(began))
	return nil
}

// busiestEngine returns the engine with the most answers in decoding.
func (r *run) busiestEngine() (*engine.Engine, int) {
	engines := r.options.Fleet.StandIns.Engines
	chosen, most := engines[0], 0
	for _, candidate := range engines {
		state, running := candidate.State()
		if running && state.Role != enginecontract.RolePrefill && state.InFlight > most {
			chosen, most = candidate, state.InFlight
		}
	}
	return chosen, most
}

// restart restarts an engine; connections that were reset can hold its address for a moment.
func restart(ctx context.Context, crashed *engine.Engine) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := crashed.Restart()
		if err == nil || !pause.For(limited, downDuration/10) {
			return trace.Wrap(err)
		}
	}
}

func (r *run) recordFault(injected Fault, back time.Duration) {
	injected.BackAfterMs = float64(back.Milliseconds())
	r.report.Faults = append(r.report.Faults, injected)
	fmt.Fprintf(r.options.Progress, "%s %s with %d in flight: back after %.1f s\n", injected.Kind, injected.Target, injected.InFlight, back.Seconds())
}

// inFlight reads a gateway's requests in flight from its metrics; -1 if that fails.
func inFlight(gateway *fleet.Process) int {
	_, body, err := checkedconn.Get("http://" + gateway.AdminListen + metrics.PathMetrics)
	if err != nil {
		return -1
	}
	return gaugeValue(string(body), "requests_in_flight")
}
