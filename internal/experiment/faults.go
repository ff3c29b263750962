package experiment

import (
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// scheduleFaults schedules the start and end of the scenario's faults.
func (w *world) scheduleFaults() {
	declared := make([]scenario.Engine, len(w.engines))
	for i, engine := range w.engines {
		declared[i] = engine.declared
	}
	for _, fault := range w.scenario.Faults {
		affected := make([]*engine, 0, len(declared))
		for _, chosen := range fault.Targets(declared) {
			affected = append(affected, w.byName[chosen.Name])
		}
		w.agenda.Schedule(fault.At, func() { w.beginFault(fault, affected) })
		if fault.Length > 0 {
			w.agenda.Schedule(fault.At+fault.Length, func() { w.endFault(fault, affected) })
		}
	}
}

func (w *world) beginFault(fault scenario.Fault, affected []*engine) {
	switch fault.Fault {
	case scenario.FaultEngineCrash:
		w.applyToEngines(EventFault, fault, affected, (*engine).crash)
	case scenario.FaultEnginePause:
		w.applyToEngines(EventFault, fault, affected, (*engine).pause)
	case scenario.FaultStaleReports:
		w.applyToEngines(EventFault, fault, affected, func(e *engine) { e.reportsFrozen = true })
	case scenario.FaultLostReports:
		w.control.reportFaults++
		w.recorder.recordEvent(Event{Type: EventFault, Detail: string(fault.Fault)})
	case scenario.FaultPlannerPause:
		w.control.plannerFaults++
		w.recorder.recordEvent(Event{Type: EventLeaderLost, Detail: string(fault.Fault)})
	case scenario.FaultPlannerCrash:
		w.control.plannerFaults++
		w.control.resetMemory()
		w.recorder.recordEvent(Event{Type: EventLeaderLost, Detail: string(fault.Fault)})
	}
}

func (w *world) endFault(fault scenario.Fault, affected []*engine) {
	switch fault.Fault {
	case scenario.FaultEngineCrash:
		w.applyToEngines(EventRecovered, fault, affected, (*engine).restart)
	case scenario.FaultEnginePause:
		w.applyToEngines(EventRecovered, fault, affected, (*engine).unpause)
	case scenario.FaultStaleReports:
		w.applyToEngines(EventRecovered, fault, affected, func(e *engine) { e.reportsFrozen = false })
	case scenario.FaultLostReports:
		w.control.reportFaults--
		w.recorder.recordEvent(Event{Type: EventRecovered, Detail: string(fault.Fault)})
	case scenario.FaultPlannerPause, scenario.FaultPlannerCrash:
		w.control.plannerFaults--
		w.recorder.recordEvent(Event{Type: EventLeaderElected, Detail: string(fault.Fault)})
	}
}

// applyToEngines calls do for each engine that a fault affects and records an event for it.
func (w *world) applyToEngines(eventType EventType, fault scenario.Fault, affected []*engine, do func(*engine)) {
	for _, each := range affected {
		do(each)
		w.recorder.recordEvent(Event{
			Type: eventType, Service: each.declared.Service, Engine: each.declared.Name, Zone: each.declared.Zone,
			Detail: string(fault.Fault),
		})
	}
}
