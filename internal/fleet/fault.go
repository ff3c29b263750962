package fleet

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// FaultType is what a fault does to a process, a stand-in or a zone.
type FaultType string

// Types of faults.
const (
	// FaultKill ends a process or stand-in at once and restarts it after Length.
	FaultKill FaultType = "kill"
	// FaultPause suspends a process or stand-in for Length.
	FaultPause FaultType = "pause"
	// FaultCutOff drops all traffic between the target and everything else for Length,
	// silently: connections neither close nor report an error.
	FaultCutOff FaultType = "cut-off"
)

// Names of the stand-ins that are not replicas. Faults can cut them off but not kill or pause them.
const (
	MachineListName = "machine-list"
	WeightStoreName = "weight-store"
)

// Fault happens once to a running fleet; exactly one of Process and Zone is set.
type Fault struct {
	Fault FaultType `yaml:"fault" check:"required,one-of=kill|pause|cut-off"`
	// Process is the name of a controller, gateway, engine or page service, or of the
	// machine list or weight store.
	Process string `yaml:"process"`
	// Zone targets all processes and stand-ins of the zone.
	Zone string `yaml:"zone"`
	// At is the start of the fault, as the time since the gateways became ready.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Length of the fault; after a kill of length 0 the target stays down.
	Length time.Duration `yaml:"length" check:"not-negative"`
}

// check reports keys of a fault that are invalid in combination.
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

// cutsOff reports whether any fault of the description is of the type cut-off.
func (d Description) cutsOff() bool {
	for _, fault := range d.Faults {
		if fault.Fault == FaultCutOff {
			return true
		}
	}
	return false
}
