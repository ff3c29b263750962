package experiment

import (
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// enterFaults enters the scenario's faults and their ends into the agenda.
func (w *world) enterFaults() {
	declared := make([]scenario.Engine, len(w.engines))
	for i, engine := range w.engines {
		declared[i] = engine.declared
	}
	for _, fault := range w.scenario.Faults {
		struck := make([]*engine, 0, len(declared))
		for _, chosen := range fault.Targets(declared) {
			struck = append(struck, w.byName[chosen.Name])
		}
		w.agenda.Add(fault.At, func() { w.beginFault(fault, struck) })
		if fault.Length > 0 {
			w.agenda.Add(fault.At+fault.Length, func() { w.endFault(fault, struck) })
		}
	}
}

func (w *world) beginFault(fault scenario.Fault, struck []*engine) {
	switch fault.Fault {
	case scenario.FaultEngineCrash:
		w.eachEngine(EventFault, fault, struck, (*engine).crash)
	case scenario.FaultEnginePause:
		w.eachEngine(EventFault, fault, struck, (*engine).pause)
	case scenario.FaultStaleReports:
		w.eachEngine(EventFault, fault, struck, func(e *engine) { e.frozen = true })
	case scenario.FaultLostReports:
		w.control.deaf++
		w.recorder.event(Event{Type: EventFault, Detail: string(fault.Fault)})
	case scenario.FaultPlannerPause:
		w.control.stopped++
		w.recorder.event(Event{Type: EventLeaderLost, Detail: string(fault.Fault)})
	case scenario.FaultPlannerCrash:
		w.control.stopped++
		w.control.forget()
		w.recorder.event(Event{Type: EventLeaderLost, Detail: string(fault.Fault)})
	}
}

func (w *world) endFault(fault scenario.Fault, struck []*engine) {
	switch fault.Fault {
	case scenario.FaultEngineCrash:
		w.eachEngine(EventRecovered, fault, struck, (*engine).restart)
	case scenario.FaultEnginePause:
		w.eachEngine(EventRecovered, fault, struck, (*engine).unpause)
	case scenario.FaultStaleReports:
		w.eachEngine(EventRecovered, fault, struck, func(e *engine) { e.frozen = false })
	case scenario.FaultLostReports:
		w.control.deaf--
		w.recorder.event(Event{Type: EventRecovered, Detail: string(fault.Fault)})
	case scenario.FaultPlannerPause, scenario.FaultPlannerCrash:
		w.control.stopped--
		w.recorder.event(Event{Type: EventLeaderElected, Detail: string(fault.Fault)})
	}
}

// eachEngine does something to each engine that a fault strikes, and tells of it.
func (w *world) eachEngine(eventType EventType, fault scenario.Fault, struck []*engine, do func(*engine)) {
	for _, each := range struck {
		do(each)
		w.recorder.event(Event{
			Type: eventType, Service: each.declared.Service, Engine: each.declared.Name, Zone: each.declared.Zone,
			Detail: string(fault.Fault),
		})
	}
}
