package relay

import (
	"context"
	"math"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay/speeds"
)

// loadProbeTimeout limits the duration of a health check, which engines answer at once.
const loadProbeTimeout = 200 * time.Millisecond

// LoadProbe is what a relay uses of an engine's answer to a health check.
type LoadProbe struct {
	// Load is the value of the load header; empty if there is none.
	Load string
	// Signals are the backoff and limit signals in the answer.
	Signals backpressure.Directives
}

// startProber starts to ask the engines that this relay owns for their speed, until the context ends.
func (r *Relay) startProber(ctx context.Context, options Options) {
	if options.ProbeLoad == nil || !options.Without.IsEnabled(mechanism.PausePrediction) {
		return
	}
	transport := checkedconn.NewTransport(options.Dial, nil)
	transport.MaxIdleConnsPerHost = 1
	client := newCaller(transport, loadProbeTimeout)
	probe := func(ctx context.Context, engine *backEnd, path string) (float64, error) {
		answer, err := options.ProbeLoad(ctx, client, engine.BackEnd, path)
		r.applySignals(engine, answer.Signals, internalCallSentAt)
		reported, _ := parseLoadHeader(answer.Load)
		return relativeTime(reported.relativeTimePercent), err
	}
	prober := &speeds.Prober{Speeds: r.speeds, Now: r.clock.now, Targets: func() []speeds.Target { return r.probeTargets(probe) }}
	go prober.Run(ctx)
}

// probeTargets returns the engines of the cells that this relay owns, except those that must not be called now.
func (r *Relay) probeTargets(probe func(context.Context, *backEnd, string) (float64, error)) []speeds.Target {
	table, now := r.view.Load().table, r.clock.now()
	if table == nil {
		return nil
	}
	var targets []speeds.Target
	for _, engine := range r.owners.firstOwnedEngines() {
		service := table.Service(engine.Service)
		if service == nil || service.HealthPath == "" || engine.isLeaving() || engine.hasLimit() || engine.inBackoff(now) {
			continue
		}
		targets = append(targets, speeds.Target{Service: engine.Service, Hash: engine.hash, Probe: func(ctx context.Context) (float64, error) {
			return probe(ctx, engine, service.HealthPath)
		}})
	}
	return targets
}

// engineSpeeds returns the speeds of the engines of the cells that this relay owns, for the leader; nil if engines do not
// report their speed.
func (r *Relay) engineSpeeds() []*v1.EngineSpeed {
	view, now := r.view.Load(), r.clock.now()
	var reported []*v1.EngineSpeed
	for _, engine := range r.owners.firstOwnedEngines() {
		if _, known := r.speeds.ReportAge(now, engine.Service, engine.hash); !known {
			continue
		}
		streams := engine.Slots / 2 // step times are reported for engines that use half of their slots
		estimate := r.speeds.EstimateOf(now, engine.Service, engine.hash, streams)
		reported = append(reported, &v1.EngineSpeed{
			Engine: engine.hash, StepNs: wireNanoseconds(estimate.Step), TokenNs: wireNanoseconds(r.prefillSpeed.timePerToken(engine.hash)),
			MissesGap: missesGap(view, engine.Service, time.Duration(estimate.Peak*float64(estimate.Step))),
		})
	}
	return reported
}

// wireNanoseconds encodes a duration for a message, at most the largest value of its field.
func wireNanoseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration, 0), math.MaxUint32))
}

// countSlowedEngines returns the number of engines of the cells that this relay owns that are slowed down now.
func (r *Relay) countSlowedEngines() int {
	now, count := r.clock.now(), 0
	for _, engine := range r.owners.firstOwnedEngines() {
		if r.speeds.IsSlowedDown(now, engine.Service, engine.hash) {
			count++
		}
	}
	return count
}

// missesGap reports whether decode steps of the given duration exceed the gap target of a service's routes.
func missesGap(view *view, service string, step time.Duration) bool {
	engine := view.engine(service)
	if engine == nil {
		return false
	}
	for _, route := range view.table.Configuration.Routes {
		for _, split := range route.Splits {
			if split.Service == service && route.TargetGap > 0 && time.Duration(engine.Stride)*step > route.TargetGap {
				return true
			}
		}
	}
	return false
}
