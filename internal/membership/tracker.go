package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Tracker tracks the back ends and the gateways.
type Tracker struct {
	config       Config
	machines     map[string]*Machine
	names        []string // of machines, sorted
	pageServices map[string]bool

	listRead    bool
	listVersion uint64
	listAt      time.Duration
	firstListAt time.Duration

	gateways    map[string]*Gateway
	directories map[string]*cachedDirectory
	// topologyVersion counts the changes of everything on which the choice of a zone's back ends
	// depends: the machines, their zones, services and roles.
	topologyVersion uint64
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	return &Tracker{
		config: config.withDefaults(), machines: map[string]*Machine{}, pageServices: map[string]bool{},
		gateways: map[string]*Gateway{}, directories: map[string]*cachedDirectory{},
	}
}

// SetPageServices sets which services are page services; their machines are not polled.
func (t *Tracker) SetPageServices(services map[string]bool) {
	t.pageServices = services
	for _, machine := range t.machines {
		machine.isPageService = services[machine.Row.Service]
	}
}

// ApplyList applies a read of the platform's machine list and reports whether it was accepted. A list
// with a lower version than the last one is a late copy and is ignored, unless no newer list has arrived
// for ListResetAfter: then the platform has restarted its version numbers.
func (t *Tracker) ApplyList(now time.Duration, list enginecontract.MachineList) bool {
	if t.listRead && list.Version < t.listVersion && now-t.listAt < t.config.ListResetAfter {
		return false
	}
	if !t.listRead {
		t.firstListAt = now
	}
	t.listRead, t.listVersion, t.listAt = true, list.Version, now
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
		t.topologyVersion++
	}
	if machine.Row.Address != row.Address {
		// Another machine has taken over the name: earlier reports do not describe it.
		machine.State, machine.Load, machine.pollInFlight = nil, nil, false
	}
	if machine.Row.Zone != row.Zone || machine.Row.Service != row.Service || machine.Row.Address != row.Address {
		t.topologyVersion++
	}
	machine.Row = row
	machine.Listed = true
	machine.LastListedAt = now
	machine.isPageService = t.pageServices[row.Service]
}

// pollPhase returns the delay of a machine's first poll, which spreads the polls of all machines over the poll interval.
func (t *Tracker) pollPhase(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(t.config.PollInterval))
}

// Poll is a poll to send to a machine.
type Poll struct{ Name, Address string }

// DuePolls returns the polls that are due, and records them as sent.
func (t *Tracker) DuePolls(now time.Duration) []Poll {
	var polls []Poll
	for _, name := range t.names {
		machine := t.machines[name]
		if machine.isPageService || machine.pollInFlight || now < machine.nextPollAt {
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

// ExpeditePoll brings a machine's next poll forward so that it is due at most the time within after now, because the
// machine carries out an order.
func (t *Tracker) ExpeditePoll(now time.Duration, name string, within time.Duration) {
	if machine := t.machines[name]; machine != nil {
		machine.nextPollAt = min(machine.nextPollAt, now+within)
	}
}

// RecordPollAnswer records the answer to a poll; state is nil when no answer arrived. It returns when the
// poll was sent, and whether the answer was accepted.
func (t *Tracker) RecordPollAnswer(now time.Duration, name string, state *enginecontract.EngineState, load *enginecontract.LoadReport) (sentAt time.Duration, accepted bool) {
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

// RecordState records a state that a machine reported, read at the machine no earlier than at. It reports
// whether the state was accepted: those of an older incarnation are not.
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
		t.topologyVersion++
	}
	machine.State = state
	machine.StateAt = at
	return true
}

// Machines returns the machines, ordered by name.
func (t *Tracker) Machines() []*Machine {
	machines := make([]*Machine, len(t.names))
	for i, name := range t.names {
		machines[i] = t.machines[name]
	}
	return machines
}

// Machine returns one machine, or nil.
func (t *Tracker) Machine(name string) *Machine { return t.machines[name] }

// RemoveGone removes the machines that have been neither listed nor answering for RemoveAfter, and
// returns their names.
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
		t.topologyVersion++
		t.names = slices.DeleteFunc(t.names, func(name string) bool { return slices.Contains(gone, name) })
	}
	return gone
}

// HasList reports whether a machine list has been applied.
func (t *Tracker) HasList() bool { return t.listRead }
