package soak

import "time"

// strikeKind is what strikes in a release or in a series of moves.
type strikeKind int

// Kinds of strikes.
const (
	strikeNothing strikeKind = iota
	killAllRelays
	killAllProcesses
	// cutFromAll cuts a relay off from controllers, relays and the list. After cutFromProcesses it reads the list itself, after
	// cutFromControllers the other relays may tell it, too.
	cutFromAll
	cutFromProcesses
	cutFromControllers
	suspendRelay
	// restartRelay kills one relay, which clients prefer once it is back.
	restartRelay
)

// strike is a drawn strike.
type strike struct {
	kind strikeKind
	// relay is the relay that is struck, unless all are.
	relay *relayProcess
	// moment is when processes are killed, from the execution on; away is how long they are down.
	moment, away time.Duration
	// length is how long the relay is out of step, from the execution on.
	length time.Duration
}

// execute begins a strike. It reports whether a relay falls out of step at once.
func (f *faults) execute(planned strike) (outOfStep bool) {
	switch planned.kind {
	case strikeNothing:
		return false
	case killAllRelays:
		f.running.Go(func() { time.Sleep(planned.moment); f.killTogether(f.relayProcesses(), planned.away) })
		return false
	case killAllProcesses:
		f.running.Go(func() { time.Sleep(planned.moment); f.killTogether(f.processes(), planned.away) })
		return false
	case restartRelay:
		f.running.Go(func() {
			time.Sleep(planned.moment)
			f.preferOutOfStep(planned.relay, planned.away)
			f.kill(planned.relay, planned.away)
		})
		return false
	case cutFromAll:
		f.cutOutOfStep(planned.relay, planned.length, groupControllers, groupRelays, groupList)
	case cutFromProcesses:
		f.cutOutOfStep(planned.relay, planned.length, groupControllers, groupRelays)
	case cutFromControllers:
		f.cutOutOfStep(planned.relay, planned.length, groupControllers)
	case suspendRelay:
		f.preferOutOfStep(planned.relay, planned.length)
		f.freeze(planned.relay, planned.length)
	}
	return true
}
