package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Tracker knows the back ends and the gateways.
type Tracker struct {
	config   Config
	machines map[string]*Machine
	names    []string // of machines, sorted
	pages    map[string]bool

	listed      bool
	listVersion uint64
	listAt      time.Duration
	firstListAt time.Duration

	gateways    map[string]*Gateway
	directories map[string]*zoneDirectory
	// shape counts the changes of what the choice of a zone's back ends follows from:
	// the machines, their zones, services and roles.
	shape uint64
}

// New returns a Tracker that has heard of no one.
func New(config Config) *Tracker {
	return &Tracker{
		config: config.withDefaults(), machines: map[string]*Machine{}, pages: map[string]bool{},
		gateways: map[string]*Gateway{}, directories: map[string]*zoneDirectory{},
	}
}

// SetPages tells which services are page services: their machines are not polled.
func (t *Tracker) SetPages(services map[string]bool) {
	t.pages = services
	for _, machine := range t.machines {
		machine.page = services[machine.Row.Service]
	}
}

// ApplyList takes a reading of the platform's machine list. A list with a lower version
// than the last one is a late copy, unless the list has not moved on for long: then
// the platform has started to count anew. It reports whether the list was taken.
func (t *Tracker) ApplyList(now time.Duration, list enginecontract.MachineList) bool {
	if t.listed && list.Version < t.listVersion && now-t.listAt < t.config.ListResetAfter {
		return false
	}
	if !t.listed {
		t.firstListAt = now
	}
	t.listed, t.listVersion, t.listAt = true, list.Version, now
	for _, machine := range t.machines {
		machine.Listed = false
	}
	for _, row := range list.Machines {
		t.listMachine(now, row)
	}
	return true
}

func (t *Tracker) listMachine(now time.Duration, row enginecontract.Machine) {
	machine := t.machines[row.Name]
	if machine == nil {
		machine = &Machine{nextPollAt: now + t.pollPhase(row.Name)}
		t.machines[row.Name] = machine
		position, _ := slices.BinarySearch(t.names, row.Name)
		t.names = slices.Insert(t.names, position, row.Name)
		t.shape++
	}
	if machine.Row.Address != row.Address {
		// Another machine under the same name: nothing heard so far is about it.
		machine.State, machine.Load, machine.pollInFlight = nil, nil, false
	}
	if machine.Row.Zone != row.Zone || machine.Row.Service != row.Service || machine.Row.Address != row.Address {
		t.shape++
	}
	machine.Row = row
	machine.Listed = true
	machine.LastListedAt = now
	machine.page = t.pages[row.Service]
}

// pollPhase spreads the polls of many machines over the interval.
func (t *Tracker) pollPhase(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(t.config.PollInterval))
}

// Poll is one poll that is due.
type Poll struct{ Name, Address string }

// DuePolls returns the polls to send now; each counts as sent.
func (t *Tracker) DuePolls(now time.Duration) []Poll {
	var polls []Poll
	for _, name := range t.names {
		machine := t.machines[name]
		if machine.page || machine.pollInFlight || now < machine.nextPollAt {
			continue
		}
		machine.pollInFlight = true
		machine.pollSentAt = now
		machine.nextPollAt += t.config.PollInterval
		if machine.nextPollAt <= now {
			machine.nextPollAt = now + t.config.PollInterval
		}
		polls = append(polls, Poll{Name: name, Address: machine.Row.Address})
	}
	return polls
}

// ExpeditePoll makes the next poll of a machine due soon: an order is under way there.
func (t *Tracker) ExpeditePoll(now time.Duration, name string, within time.Duration) {
	if machine := t.machines[name]; machine != nil {
		machine.nextPollAt = min(machine.nextPollAt, now+within)
	}
}

// RecordPollAnswer takes the answer to a poll; state is nil when it was lost. It returns
// when the poll was sent, and whether the answer counts.
func (t *Tracker) RecordPollAnswer(now time.Duration, name string, state *enginecontract.EngineState, load *enginecontract.LoadReport) (sentAt time.Duration, counts bool) {
	machine := t.machines[name]
	if machine == nil || !machine.pollInFlight {
		return 0, false
	}
	machine.pollInFlight = false
	sentAt = machine.pollSentAt
	if state == nil {
		return sentAt, false
	}
	if !t.RecordState(name, sentAt, state) {
		return sentAt, false
	}
	if load != nil && load.Incarnation == state.Incarnation {
		machine.Load, machine.LoadAt = load, now
	}
	return sentAt, true
}

// RecordState takes a machine's own word, read at the machine no earlier than at. It
// reports whether the word counts: an older incarnation's does not.
func (t *Tracker) RecordState(name string, at time.Duration, state *enginecontract.EngineState) bool {
	machine := t.machines[name]
	if machine == nil || state.Engine != name {
		return false
	}
	if known := machine.State; known != nil {
		if state.Incarnation < known.Incarnation || (state.Incarnation == known.Incarnation && at < machine.StateAt) {
			return false
		}
		if state.Incarnation > known.Incarnation {
			machine.Load = nil
		}
	}
	if machine.State == nil || machine.State.Role != state.Role {
		t.shape++
	}
	machine.State = state
	machine.StateAt = at
	return true
}

// Machines lists the machines by name.
func (t *Tracker) Machines() []*Machine {
	machines := make([]*Machine, len(t.names))
	for i, name := range t.names {
		machines[i] = t.machines[name]
	}
	return machines
}

// Machine returns one machine, or nil.
func (t *Tracker) Machine(name string) *Machine { return t.machines[name] }

// RemoveGone forgets the machines that are neither listed nor answering and returns
// their names.
func (t *Tracker) RemoveGone(now time.Duration) []string {
	var gone []string
	for _, name := range t.names {
		machine := t.machines[name]
		if !machine.Listed && now-machine.LastListedAt > t.config.RemoveAfter &&
			(machine.State == nil || now-machine.StateAt > t.config.RemoveAfter) {
			gone = append(gone, name)
		}
	}
	for _, name := range gone {
		delete(t.machines, name)
	}
	if len(gone) > 0 {
		t.shape++
		t.names = slices.DeleteFunc(t.names, func(name string) bool { return slices.Contains(gone, name) })
	}
	return gone
}

// HasList reports whether a machine list has been read.
func (t *Tracker) HasList() bool { return t.listed }
