package history

import (
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// Kill kills a process at once; it is started again when the fault ends.
	Kill FaultKind = "kill"
	// Freeze suspends a process, Terminate asks it to stop, Reload signals it that its settings have changed.
	Freeze    FaultKind = "freeze"
	Terminate FaultKind = "terminate"
	Reload    FaultKind = "reload"
	// Replace counts the processes that were replaced by one of another build. Each of them also counts as Terminate or Kill.
	Replace FaultKind = "replace"
	// Cut drops all packets between a relay and controllers or other relays.
	Cut FaultKind = "cut"
	// CutFromBackEnds cuts a relay off from all back ends, while clients, controllers and other relays reach it.
	CutFromBackEnds FaultKind = "cut-from-back-ends"
	// CutController drops the packets between a controller and others, in one direction or both, or resets their connections.
	CutController FaultKind = "cut-between-controllers"
	// Wipe kills a controller at once and replaces its disk by an empty one.
	Wipe FaultKind = "wipe"
	// Crash crashes a back end, Drain makes it drain and leave as planned.
	Crash FaultKind = "crash"
	Drain FaultKind = "drain"
	// Rest makes a back end refuse requests and ask for backoff.
	Rest FaultKind = "rest"
	// Limited makes a back end announce limits for all relays together.
	Limited FaultKind = "limit"
	// Reset resets the connections between relays and a back end, Silence drops what they carry, Delay slows them
	// down.
	Reset   FaultKind = "reset"
	Silence FaultKind = "silence"
	Delay   FaultKind = "delay"
	// StandStill makes a sound back end neither read, write nor acknowledge anything for a short time, as on a machine that
	// stands still. Nothing is lost. It is no disruption, unlike Silence.
	StandStill FaultKind = "stand-still"
	// Release starts back ends of another software version and lets those of the old one leave. It is planned.
	Release FaultKind = "release"
	// Move is a series of configurations that lead routes of streams to other services.
	Move FaultKind = "move"
	// ResetClients resets the connections of a share of the clients.
	ResetClients FaultKind = "reset-clients"
	// LostDatagrams loses a share of the datagrams among the relays.
	LostDatagrams FaultKind = "lost-datagrams"
	// HotRelay makes most new connections of clients go to one relay. It is no disruption.
	HotRelay FaultKind = "hot-relay"
)

// IsPlanned reports whether the fault is maintenance that an operator plans.
func (k FaultKind) IsPlanned() bool {
	return k == Terminate || k == Reload || k == Drain || k == Release || k == Move
}

// IsDisruption reports whether the fault may excuse relays from answering requests.
func (k FaultKind) IsDisruption() bool { return !k.IsPlanned() && k != StandStill && k != HotRelay }

// Fault is one fault at a process or at its connections.
type Fault struct {
	Kind   FaultKind
	Target string
	// OtherBuild is true if the process ran the build of the soak's Options.OtherProgram when the fault began.
	OtherBuild bool
	// From and To are when the fault began and ended: a process that was stopped runs again at To.
	From, To time.Duration
}

// Strikes reports whether the fault was under way at the target at the given time, or ended at most span before it.
func (f Fault) Strikes(target string, at, span time.Duration) bool {
	return f.Target == target && f.From <= at && f.To+span >= at
}

// IsInContact reports whether no fault was under way at the relay or at any controller at the given time, and none
// ended within the contact time before it. Faults of the ignored kinds do not count.
func (h *History) IsInContact(relay string, at time.Duration, ignored ...FaultKind) bool {
	for _, fault := range h.Faults {
		isAffected := (fault.Target == relay || h.Controllers[fault.Target]) && !slices.Contains(ignored, fault.Kind)
		if isAffected && fault.From <= at && fault.To+h.Bounds.Contact >= at {
			return false
		}
	}
	return true
}

// WasHeldUp reports whether a back end stood still at the given time or within the contact time before it, so that
// requests may have reached it late.
func (h *History) WasHeldUp(replica string, at time.Duration) bool {
	for _, fault := range h.Faults {
		if fault.Kind == StandStill && fault.Strikes(replica, at, h.Bounds.Contact) {
			return true
		}
	}
	return false
}

// WasCutFromBackEnds reports whether a relay was cut off from all back ends at some time between from and to.
func (h *History) WasCutFromBackEnds(relay string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Faults, func(fault Fault) bool {
		return fault.Kind == CutFromBackEnds && fault.Target == relay && fault.From <= to && fault.To >= from
	})
}

// WasDisturbed reports whether a fault was under way at one of the targets between from and to. Reloads, and back ends
// that drain, ask for backoff or announce limits, do not count.
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
