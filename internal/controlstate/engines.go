package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// recordEngine records the observed state of an engine, or removes the engine's record. A record with
// an outstanding order is retained until the order has finished.
func (s *State) recordEngine(at int64, record *v1.RecordEngine) Result {
	observed := record.GetEngine()
	if err := checkName(observed.GetEngine()); err != nil {
		return Result{Err: trace.Wrap(ErrInvalidCommand, "engine: %s", trace.UserMessage(err))}
	}
	current := s.engines[observed.Engine]
	if record.Removed {
		if current != nil && current.Outstanding == nil {
			delete(s.engines, observed.Engine)
		}
		return Result{}
	}
	if current == nil {
		if len(s.engines) >= MaximumEngines {
			return Result{Err: trace.Wrap(ErrInvalidCommand, "%d engines are recorded already", len(s.engines))}
		}
		s.putEngine(&v1.EngineRecord{State: observed, RoleSinceMs: at})
		return Result{}
	}
	if observed.Incarnation < current.State.GetIncarnation() {
		return Result{Err: trace.Wrap(ErrInvalidCommand, "engine %q: incarnation %d is older than %d",
			observed.Engine, observed.Incarnation, current.State.GetIncarnation())}
	}
	updated := &v1.EngineRecord{Outstanding: current.Outstanding, Drained: current.Drained}
	updated.State, updated.RoleSinceMs = mergeObservation(current, observed, at)
	if observed.Incarnation > current.State.GetIncarnation() {
		// The drain applied to the previous incarnation of the engine.
		updated.Drained = false
	}
	s.putEngine(updated)
	return Result{}
}

// mergeObservation returns the state to record and the time, in milliseconds since the Unix epoch, since which the engine
// has had its role: at, when the observation was proposed, if the role has changed.
func mergeObservation(current *v1.EngineRecord, observed *v1.EngineState, at int64) (*v1.EngineState, int64) {
	if current.State.GetRole() == observed.Role {
		return observed, current.RoleSinceMs
	}
	return observed, at
}

func (s *State) putEngine(record *v1.EngineRecord) {
	s.engines[record.State.Engine] = record
}

// Engine returns the record of an engine, or nil.
func (s *State) Engine(name string) *v1.EngineRecord { return s.engines[name] }

// Engines lists the recorded engines, sorted by name.
func (s *State) Engines() []*v1.EngineRecord { return sortedValues(s.engines) }
