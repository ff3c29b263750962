package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// InjectFaults lets the description's faults happen at their times from now on, until
// the context ends. It checks them all before the first and tells each on progress.
func (f *Fleet) InjectFaults(ctx context.Context, progress io.Writer) error {
	struck := make([][]member, len(f.Description.Faults))
	for index, fault := range f.Description.Faults {
		targets, err := f.targets(fault)
		if err != nil {
			return trace.Wrap(err)
		}
		struck[index] = targets
	}
	for index, fault := range f.Description.Faults {
		go func() {
			if !sleep(ctx, fault.At) {
				return
			}
			fmt.Fprintf(progress, "fault %s of %s%s for %v\n", fault.Fault, fault.Process, fault.Zone, fault.Length)
			if err := f.strike(ctx, fault, struck[index]); err != nil {
				fmt.Fprintf(progress, "fault %s of %s%s: %v\n", fault.Fault, fault.Process, fault.Zone, err)
			}
		}()
	}
	return nil
}

// strike lets one fault happen and returns when it is over.
func (f *Fleet) strike(ctx context.Context, fault Fault, targets []member) error {
	switch fault.Fault {
	case FaultPause:
		for _, target := range targets {
			target.pause(fault.Length)
		}
		return nil
	case FaultKill:
		return killAll(ctx, targets, fault.Length)
	}
	var group []netip.Prefix
	for _, target := range targets {
		prefix, err := target.prefix()
		if err != nil {
			return trace.Wrap(err)
		}
		group = append(group, prefix)
	}
	end, err := f.cuts.begin(group, f.Processes)
	if err != nil {
		return trace.Wrap(err)
	}
	sleep(ctx, fault.Length)
	return end()
}

// killAll kills targets and starts them again after a time; after 0 never.
func killAll(ctx context.Context, targets []member, length time.Duration) error {
	for _, target := range targets {
		target.kill()
	}
	if length == 0 || !sleep(ctx, length) {
		return nil
	}
	var problems []error
	for _, target := range targets {
		problems = append(problems, target.start())
	}
	return trace.NewAggregate(problems...)
}

// sleep waits; false when the context ended first.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
