package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// InjectFaults schedules the description's faults, whose times count from now, until the context ends. It resolves
// the targets of all faults before it returns, and writes a line to progress for each fault.
func (f *Fleet) InjectFaults(ctx context.Context, progress io.Writer) error {
	targetsByFault := make([][]faultTarget, len(f.Description.Faults))
	for index, fault := range f.Description.Faults {
		targets, err := f.resolveTargets(fault)
		if err != nil {
			return trace.Wrap(err)
		}
		targetsByFault[index] = targets
	}
	for index, fault := range f.Description.Faults {
		go func() {
			if !waitFor(ctx, fault.At) {
				return
			}
			fmt.Fprintf(progress, "fault %s of %s%s for %v\n", fault.Fault, fault.Process, fault.Zone, fault.Length)
			if err := f.inject(ctx, fault, targetsByFault[index]); err != nil {
				fmt.Fprintf(progress, "fault %s of %s%s: %v\n", fault.Fault, fault.Process, fault.Zone, err)
			}
		}()
	}
	return nil
}

// inject applies one fault to its targets. It returns when a kill or a cut-off is over; a pause ends on its own.
func (f *Fleet) inject(ctx context.Context, fault Fault, targets []faultTarget) error {
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
		prefix, err := target.addressPrefix()
		if err != nil {
			return trace.Wrap(err)
		}
		group = append(group, prefix)
	}
	end, err := f.cuts.begin(group, f.Processes)
	if err != nil {
		return trace.Wrap(err)
	}
	waitFor(ctx, fault.Length)
	return end()
}

// killAll kills the targets and restarts them after length; with length 0 they stay down.
func killAll(ctx context.Context, targets []faultTarget, length time.Duration) error {
	for _, target := range targets {
		target.kill()
	}
	if length == 0 || !waitFor(ctx, length) {
		return nil
	}
	var problems []error
	for _, target := range targets {
		problems = append(problems, target.start())
	}
	return trace.NewAggregate(problems...)
}

// waitFor waits for length; it returns false if the context ended first.
func waitFor(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
