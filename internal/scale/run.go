package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// RunOptions are one measurement from start to end.
type RunOptions struct {
	Options
	Traffic TrafficOptions
	// Settle is the time between the start of the traffic and the window.
	Settle time.Duration
	Window time.Duration
	// Burst changes are submitted one after the other as fast as they are accepted.
	Burst int
	// Steady changes are submitted with SteadyPause between them.
	Steady      int
	SteadyPause time.Duration
	// Progress receives a line for each step; nil drops them.
	Progress io.Writer
}

// declareTimeout bounds the start of a fleet and its declarations.
const declareTimeout = 2 * time.Minute

// Run starts a fleet, measures it and stops it. When changes fail after the window, it
// returns what was measured with the error.
func Run(ctx context.Context, options RunOptions) (*Measurement, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	began := time.Now()
	fleet, err := startDeclared(ctx, options.Options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer fleet.Close()
	fmt.Fprintf(options.Progress, "in force at %d nodes after %.1f s\n", len(fleet.Nodes), time.Since(began).Seconds())
	running, stop := context.WithCancel(ctx)
	defer stop()
	traffic := fleet.StartTraffic(running, options.Traffic)
	if !pause.For(ctx, options.Settle) {
		return nil, trace.Wrap(ctx.Err())
	}
	measured, err := fleet.Measure(ctx, options.Window, traffic)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return measured, trace.Wrap(fleet.measureChanges(ctx, options, measured))
}

func (f *Fleet) measureChanges(ctx context.Context, options RunOptions, measured *Measurement) error {
	if options.Burst > 0 {
		spread, err := f.Changes(ctx, "burst", 0, options.Burst, 0)
		if err != nil {
			return trace.Wrap(err)
		}
		measured.Spreads = append(measured.Spreads, spread)
	}
	if options.Steady > 0 {
		spread, err := f.Changes(ctx, fmt.Sprintf("every %s", options.SteadyPause), options.Burst, options.Steady, options.SteadyPause)
		if err != nil {
			return trace.Wrap(err)
		}
		measured.Spreads = append(measured.Spreads, spread)
	}
	return nil
}

// startDeclared starts a fleet and waits until its declarations are in force everywhere.
func startDeclared(ctx context.Context, options Options) (*Fleet, error) {
	fleet, err := Start(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	declaring, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	if err := fleet.Declare(declaring); err != nil {
		fleet.Close()
		return nil, trace.Wrap(err)
	}
	return fleet, nil
}
