package scenario

import "time"

// FaultType is the type of a fault.
type FaultType string

// Types of faults.
const (
	// FaultEngineCrash ends engines at once, with the loss of their state; they restart
	// empty, in the same role, after Length.
	FaultEngineCrash FaultType = "engine-crash"
	// FaultEnginePause suspends engines for Length.
	FaultEnginePause FaultType = "engine-pause"
	// FaultStaleReports freezes the engines' reports at their last value for Length.
	FaultStaleReports FaultType = "stale-reports"
	// FaultLostReports drops the engines' reports to the planner for Length.
	FaultLostReports FaultType = "lost-reports"
	// FaultPlannerPause suspends the planner for Length; it makes no decisions.
	FaultPlannerPause FaultType = "planner-pause"
	// FaultPlannerCrash drops the planner's memory and suspends the planner for Length.
	FaultPlannerCrash FaultType = "planner-crash"
)

// Fault is one fault that occurs during a run.
type Fault struct {
	Fault FaultType `yaml:"fault" check:"required,one-of=engine-crash|engine-pause|stale-reports|lost-reports|planner-pause|planner-crash"`
	// At is the start of the fault.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Length of the fault; an engine crash of length 0 lasts to the end of the run.
	Length time.Duration `yaml:"length" default:"0s" check:"not-negative"`
	// Service, Zone and Engine select the engines that the fault affects; an empty field
	// selects all.
	Service string `yaml:"service"`
	Zone    string `yaml:"zone"`
	Engine  string `yaml:"engine"`
	// Count limits the fault to the first engines selected; 0 is no limit.
	Count int `yaml:"count" default:"0" check:"not-negative"`
}

// Targets returns the engines that the fault affects, in the given order.
func (f Fault) Targets(engines []Engine) []Engine {
	var targets []Engine
	for _, engine := range engines {
		if !f.matches(engine) {
			continue
		}
		if f.Count > 0 && len(targets) == f.Count {
			break
		}
		targets = append(targets, engine)
	}
	return targets
}

func (f Fault) matches(engine Engine) bool {
	inService := f.Service == "" || f.Service == engine.Service
	inZone := f.Zone == "" || f.Zone == engine.Zone
	named := f.Engine == "" || f.Engine == engine.Name
	return inService && inZone && named
}
