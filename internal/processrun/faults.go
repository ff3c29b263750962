package processrun

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// checkFaults refuses faults that a fleet of processes cannot show at a time.
func checkFaults(of scenario.Scenario) error {
	for _, fault := range of.Faults {
		switch fault.Fault {
		case scenario.FaultEngineCrash, scenario.FaultEnginePause:
		default:
			return trace.BadParameter("scenario %s: fault %s can be run in virtual time alone; on processes there are %s and %s",
				of.Name, fault.Fault, scenario.FaultEngineCrash, scenario.FaultEnginePause)
		}
	}
	return nil
}

// strike lets the scenario's faults happen at their times, until the context ends.
func strike(ctx context.Context, outside *fleet.StandIns, of scenario.Scenario, began time.Time) {
	for _, fault := range of.Faults {
		go func() {
			if !sleepUntil(ctx, began.Add(fault.At)) {
				return
			}
			strikeOne(ctx, outside, of, fault)
		}()
	}
}

func strikeOne(ctx context.Context, outside *fleet.StandIns, of scenario.Scenario, fault scenario.Fault) {
	for _, declared := range fault.Targets(of.Engines()) {
		struck := outside.Engine(declared.Name)
		if struck == nil {
			continue
		}
		if fault.Fault == scenario.FaultEnginePause {
			struck.Freeze(fault.Length)
			continue
		}
		struck.Crash()
		if fault.Length > 0 {
			go func() {
				if sleepUntil(ctx, time.Now().Add(fault.Length)) {
					_ = struck.Restart() // its address is free: the same engine held it
				}
			}()
		}
	}
}

// sleepUntil waits for a time; false when the context ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
