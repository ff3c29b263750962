package processrun

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// validateFaults rejects faults that only exist in virtual time.
func validateFaults(definition scenario.Scenario) error {
	for _, fault := range definition.Faults {
		switch fault.Fault {
		case scenario.FaultEngineCrash, scenario.FaultEnginePause:
		default:
			return trace.BadParameter("scenario %s: fault %s can be run in virtual time alone; on processes there are %s and %s",
				definition.Name, fault.Fault, scenario.FaultEngineCrash, scenario.FaultEnginePause)
		}
	}
	return nil
}

// scheduleFaults starts the scenario's faults at their times, until the context ends. It does not block.
func scheduleFaults(ctx context.Context, standIns *fleet.StandIns, definition scenario.Scenario, start time.Time) {
	for _, fault := range definition.Faults {
		go func() {
			if !sleepUntil(ctx, start.Add(fault.At)) {
				return
			}
			injectFault(ctx, standIns, definition, fault)
		}()
	}
}

func injectFault(ctx context.Context, standIns *fleet.StandIns, definition scenario.Scenario, fault scenario.Fault) {
	for _, declared := range fault.Targets(definition.Engines()) {
		target := standIns.Engine(declared.Name)
		if target == nil {
			continue
		}
		if fault.Fault == scenario.FaultEnginePause {
			target.Freeze(fault.Length)
			continue
		}
		target.Crash()
		if fault.Length > 0 {
			go func() {
				if sleepUntil(ctx, time.Now().Add(fault.Length)) {
					_ = target.Restart() // cannot fail: the engine's address is still free
				}
			}()
		}
	}
}

// sleepUntil waits until a time; it returns false if the context ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
