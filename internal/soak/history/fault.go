package history

import (
	"slices"
	"time"
)

// FaultKind is what was done to a process.
type FaultKind string

// Kinds of faults.
const (
	// Kill ends a process at once; it is started again when the fault ends.
	Kill FaultKind = "kill"
	// Freeze stops its execution, Terminate asks it to stop, Reload tells it that its settings changed.
	Freeze    FaultKind = "freeze"
	Terminate FaultKind = "terminate"
	Reload    FaultKind = "reload"
	// Replace counts the processes that were replaced by those of another build. Each is a Terminate or a Kill, too.
	Replace FaultKind = "replace"
	// Cut cuts a relay off from controllers and other relays, in silence.
	Cut FaultKind = "cut"
	// Wipe ends it at once and empties its disk.
	Wipe FaultKind = "wipe"
	// Crash ends a back end, Drain takes it away as planned.
	Crash FaultKind = "crash"
	Drain FaultKind = "drain"
	// Rest makes a back end turn requests away and ask for rest.
	Rest FaultKind = "rest"
	// Limited makes a back end name limits for all relays together.
	Limited FaultKind = "limit"
	// Reset resets the connections between relays and a back end, Silence drops what they carry, Delay
	// slows them.
	Reset   FaultKind = "reset"
	Silence FaultKind = "silence"
	Delay   FaultKind = "delay"
)

// IsPlanned reports whether the fault is work that an operator plans.
func (k FaultKind) IsPlanned() bool { return k == Terminate || k == Reload || k == Drain }

// Fault is what happened to a process or to its connections.
type Fault struct {
	Kind   FaultKind
	Target string
	// OtherBuild tells that the process was of the other build that a run has, when it was struck.
	OtherBuild bool
	// From and To are when it began and ended: a process that was stopped runs again at To.
	From, To time.Duration
}

// Strikes reports whether the fault touched a target within a span before a moment, or still does.
func (f Fault) Strikes(target string, at, span time.Duration) bool {
	return f.Target == target && f.From <= at && f.To+span >= at
}

// IsInContact reports whether nothing has struck a relay, and none of the controllers, within the contact
// time before a moment.
func (h *History) IsInContact(relay string, at time.Duration) bool {
	for _, fault := range h.Faults {
		struck := fault.Target == relay || h.Controllers[fault.Target]
		if struck && fault.From <= at && fault.To+h.Bounds.Contact >= at {
			return false
		}
	}
	return true
}

// WasDisturbed reports whether one of the targets was struck within a span of time by anything but a sign to read its
// settings again, or by a back end's own rest, drain or limit.
func (h *History) WasDisturbed(from, to time.Duration, targets ...string) bool {
	for _, fault := range h.Faults {
		isExempt := fault.Kind == Reload || fault.Kind == Rest || fault.Kind == Drain || fault.Kind == Limited
		if isExempt || fault.From > to || fault.To < from {
			continue
		}
		if slices.Contains(targets, fault.Target) {
			return true
		}
	}
	return false
}
