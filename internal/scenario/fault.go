package scenario

import "time"

// FaultType is what goes wrong.
type FaultType string

// Types of faults.
const (
	// FaultEngineCrash ends engines at once with all they hold; they return empty,
	// in their role, after Length.
	FaultEngineCrash FaultType = "engine-crash"
	// FaultEnginePause stops engines for Length; they then go on.
	FaultEnginePause FaultType = "engine-pause"
	// FaultStaleReports freezes the engines' reports at their last value for Length.
	FaultStaleReports FaultType = "stale-reports"
	// FaultLostReports keeps the engines' reports from the planner for Length.
	FaultLostReports FaultType = "lost-reports"
	// FaultPlannerPause makes no decision for Length.
	FaultPlannerPause FaultType = "planner-pause"
	// FaultPlannerCrash forgets all that the planner remembers and makes no
	// decision for Length.
	FaultPlannerCrash FaultType = "planner-crash"
)

// Fault is one fault at one time.
type Fault struct {
	Fault FaultType `yaml:"fault" check:"required,one-of=engine-crash|engine-pause|stale-reports|lost-reports|planner-pause|planner-crash"`
	// At is when it begins.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Length of the fault; an engine crash of length 0 lasts to the end.
	Length time.Duration `yaml:"length" default:"0s" check:"not-negative"`
	// Service, Zone and Engine choose whom the fault strikes; those that are not set
	// choose all.
	Service string `yaml:"service"`
	Zone    string `yaml:"zone"`
	Engine  string `yaml:"engine"`
	// Count strikes only the first engines of those chosen; 0 is all.
	Count int `yaml:"count" default:"0" check:"not-negative"`
}

// Targets returns the engines that the fault is about, in their order.
func (f Fault) Targets(engines []Engine) []Engine {
	var struck []Engine
	for _, engine := range engines {
		if !f.chooses(engine) {
			continue
		}
		if f.Count > 0 && len(struck) == f.Count {
			break
		}
		struck = append(struck, engine)
	}
	return struck
}

func (f Fault) chooses(engine Engine) bool {
	inService := f.Service == "" || f.Service == engine.Service
	inZone := f.Zone == "" || f.Zone == engine.Zone
	named := f.Engine == "" || f.Engine == engine.Name
	return inService && inZone && named
}
