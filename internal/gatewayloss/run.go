package gatewayloss

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

const (
	// warmUp is how long the load runs before the first fault.
	warmUp = 3 * time.Second
	// downTime is how long a killed process stays away.
	downTime = time.Second
	// busyPatience is how long an engine's fault waits for one that has something in flight.
	busyPatience = 5 * time.Second
	busyPoll     = 2 * time.Millisecond
	// readyTimeout bounds the wait for a gateway to serve again.
	readyTimeout = 30 * time.Second
)

// Options are what a run is started with.
type Options struct {
	// Fleet is booted, with its declarations in force.
	Fleet *fleet.Fleet
	// Load is sent from before the first fault until after the last; its length is the
	// longest that a run may take.
	Load load.Options
	// Rounds is how often each fault is repeated.
	Rounds int
	// FaultInterval is the time between two faults.
	FaultInterval time.Duration
	// PageDelay is how much longer page services take, so that faults meet registrations.
	PageDelay time.Duration
	// Progress gets a line for each fault.
	Progress io.Writer
}

// run is one run.
type run struct {
	options  Options
	gateways []*fleet.Process
	outages  []outage
	report   Report

	mutex   sync.Mutex
	results []load.Result
}

// Run loses gateways and engines, one after the other, and reports. An error means that
// the run could not go on; broken promises are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, gateways: options.Fleet.ProcessesOf(fleet.RoleGateway)}
	if len(r.gateways) < 2 {
		return Report{}, trace.BadParameter("the deployment has %d gateways; at least 2 are needed", len(r.gateways))
	}
	for _, page := range options.Fleet.StandIns.Pages {
		page.Faults().Replace([]fault.Fault{{Kind: fault.Late, Count: fault.Always, DelayMs: options.PageDelay.Milliseconds()}})
	}
	options.Load.OnResult = r.take
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
	faultErr := r.strike(ctx)
	stopSending()
	ended := <-sent
	if faultErr != nil || ended.err != nil {
		return Report{}, trace.NewAggregate(faultErr, ended.err)
	}
	r.report.Load = ended.report
	r.report.add(r.results, r.outages)
	return r.report, nil
}

func (r *run) take(result load.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results = append(r.results, result)
}

// strike does all faults.
func (r *run) strike(ctx context.Context) error {
	if !pause.For(ctx, warmUp) {
		return trace.Wrap(ctx.Err())
	}
	for round := range r.options.Rounds {
		gateway := r.gateways[round%len(r.gateways)]
		for _, strike := range []func() error{
			func() error { return r.loseGateway(ctx, killGateway, gateway) },
			func() error { return r.loseEngine(ctx) },
			func() error { return r.loseGateway(ctx, stopGateway, gateway) },
		} {
			if err := strike(); err != nil {
				return trace.Wrap(err)
			}
			if !pause.For(ctx, r.options.FaultInterval) {
				return trace.Wrap(ctx.Err())
			}
		}
	}
	return nil
}

// loseGateway ends a gateway's process and starts it again.
func (r *run) loseGateway(ctx context.Context, how faultKind, gateway *fleet.Process) error {
	done := Fault{Kind: string(how), Target: gateway.Name, InFlight: inFlight(gateway), Clean: true}
	away := outage{fault: how, gateway: gateway.Listen, from: time.Now()}
	if how == killGateway {
		gateway.Kill()
		pause.For(ctx, downTime)
	} else {
		done.Clean = gateway.Stop()
	}
	if err := gateway.Start(); err != nil {
		return trace.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := gateway.WaitReady(limited); err != nil {
		return trace.Wrap(err)
	}
	away.until = time.Now()
	r.outages = append(r.outages, away)
	r.note(done, away.until.Sub(away.from))
	return nil
}

// loseEngine crashes the engine with the most in flight and starts it again.
func (r *run) loseEngine(ctx context.Context) error {
	chosen, most := r.busiestEngine()
	for waited := time.Duration(0); most == 0 && waited < busyPatience && pause.For(ctx, busyPoll); waited += busyPoll {
		chosen, most = r.busiestEngine()
	}
	began := time.Now()
	chosen.Crash()
	pause.For(ctx, downTime)
	if err := restart(ctx, chosen); err != nil {
		return trace.Wrap(err)
	}
	r.note(Fault{Kind: string(killEngine), Target: chosen.Name(), InFlight: most, Clean: true}, time.Since(began))
	return nil
}

// busiestEngine returns the engine that writes the most answers.
func (r *run) busiestEngine() (*engine.Engine, int) {
	engines := r.options.Fleet.StandIns.Engines
	chosen, most := engines[0], 0
	for _, present := range engines {
		state, running := present.State()
		if running && state.Role != enginecontract.RolePrefill && state.InFlight > most {
			chosen, most = present, state.InFlight
		}
	}
	return chosen, most
}

// restart starts an engine; its address may be held for a moment by broken connections.
func restart(ctx context.Context, crashed *engine.Engine) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := crashed.Restart()
		if err == nil || !pause.For(limited, downTime/10) {
			return trace.Wrap(err)
		}
	}
}

func (r *run) note(done Fault, back time.Duration) {
	done.BackAfterMs = float64(back.Milliseconds())
	r.report.Faults = append(r.report.Faults, done)
	fmt.Fprintf(r.options.Progress, "%s %s with %d in flight: back after %.1f s\n", done.Kind, done.Target, done.InFlight, back.Seconds())
}

// inFlight reads a gateway's requests in flight from its metrics; -1 when it cannot.
func inFlight(gateway *fleet.Process) int {
	_, body, err := fasthttp.Get(nil, "http://"+gateway.AdminListen+metrics.PathMetrics)
	if err != nil {
		return -1
	}
	return readGauge(string(body), "requests_in_flight")
}
