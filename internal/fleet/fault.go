package fleet

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// FaultType is what goes wrong with a process, a stand-in or a zone.
type FaultType string

// Types of faults.
const (
	// FaultKill ends a process or stand-in at once and starts it again after Length.
	FaultKill FaultType = "kill"
	// FaultPause stops a process's or stand-in's execution for Length.
	FaultPause FaultType = "pause"
	// FaultCutOff loses everything between the target and the others for Length, in
	// silence: connections neither end nor fail.
	FaultCutOff FaultType = "cut-off"
)

// Names of the stand-ins that are no replicas; they can be cut off.
const (
	MachineListName = "machine-list"
	WeightStoreName = "weight-store"
)

// Fault happens to a running fleet at one time; exactly one of Process and Zone is set.
type Fault struct {
	Fault FaultType `yaml:"fault" check:"required,one-of=kill|pause|cut-off"`
	// Process is a controller, gateway, engine, page service, the machine list or the
	// weight store, by name.
	Process string `yaml:"process"`
	// Zone is all processes and stand-ins in it.
	Zone string `yaml:"zone"`
	// At is the time since the gateways were ready.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Length of the fault; a kill of length 0 lasts.
	Length time.Duration `yaml:"length" check:"not-negative"`
}

// check reports keys of a fault that are wrong together.
func (f Fault) check(document *yamlfile.Document, key string, zones map[string]bool) {
	if (f.Process == "") == (f.Zone == "") {
		document.Report(key, "needs one target", "give either process or zone")
	}
	if f.Zone != "" && !zones[f.Zone] {
		document.Report(key+".zone", fmt.Sprintf("%q is not one of the zones", f.Zone), "name a zone of this file")
	}
	if f.Length == 0 && f.Fault != FaultKill {
		document.Report(key+".length", fmt.Sprintf("is missing; %s needs it", f.Fault), "set how long it lasts, such as 10s")
	}
}

// cutsOff tells whether the description's faults cut anything off.
func (d Description) cutsOff() bool {
	for _, fault := range d.Faults {
		if fault.Fault == FaultCutOff {
			return true
		}
	}
	return false
}
