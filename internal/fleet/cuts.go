package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// cutCommand is sent to a process on its standard input. It cuts the addresses of Group off from all others; with an
// empty Group it ends the cut with the same Number. With a Mode, it applies to the connections that the process opens to
// the group.
type cutCommand struct {
	Number int               `json:"number"`
	Group  []netip.Prefix    `json:"group"`
	Mode   zonedelay.CutMode `json:"mode,omitempty"`
}

// networkCuts tracks the groups of addresses that are cut off. It is safe for concurrent use.
type networkCuts struct {
	gate *zonedelay.Partitioner // of the stand-ins in this process

	mutex  sync.Mutex
	number int
	active []cutCommand
}

// begin cuts a group of addresses off, both in the stand-ins of this process and in the given processes, and returns
// the function that ends the cut.
func (c *networkCuts) begin(group []netip.Prefix, processes []*Process) (end func() error, err error) {
	c.mutex.Lock()
	c.number++
	command := cutCommand{Number: c.number, Group: group}
	c.active = append(c.active, command)
	c.mutex.Unlock()
	heal := c.gate.Isolate(group)
	end = func() error {
		heal()
		c.mutex.Lock()
		c.active = slices.DeleteFunc(c.active, func(present cutCommand) bool { return present.Number == command.Number })
		c.mutex.Unlock()
		return sendCutCommand(processes, cutCommand{Number: command.Number})
	}
	return end, sendCutCommand(processes, command)
}

// resendActive sends the active cuts to a process that has just started.
func (c *networkCuts) resendActive(process *Process) error {
	c.mutex.Lock()
	active := slices.Clone(c.active)
	c.mutex.Unlock()
	for _, command := range active {
		if err := sendCutCommand([]*Process{process}, command); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// CutOff cuts a group of addresses off from the process until heal is called. number identifies the cut in the
// commands to the process.
func (p *Process) CutOff(number int, group []netip.Prefix) (heal func() error, err error) {
	err = sendCutCommand([]*Process{p}, cutCommand{Number: number, Group: group})
	return func() error { return sendCutCommand([]*Process{p}, cutCommand{Number: number}) }, err
}

// sendCutCommand sends a command to the processes that are running.
func sendCutCommand(processes []*Process, command cutCommand) error {
	line, err := json.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	var problems []error
	for _, process := range processes {
		if process.Running() {
			problems = append(problems, process.writeInput(append(line, '\n')))
		}
	}
	return trace.NewAggregate(problems...)
}

// ApplyCutCommands applies the commands that a fleet writes to a process's standard input to gate, the partitioner of
// the process's connections. It returns when the input ends.
//
// Commands with a mode apply to dials, the connections that the process opens; a process without dials rejects them.
func ApplyCutCommands(input io.Reader, gate *zonedelay.Partitioner, dials *zonedelay.DialCuts) error {
	heals := map[int]func(){}
	for commands := json.NewDecoder(input); ; {
		var command cutCommand
		if err := commands.Decode(&command); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return trace.Wrap(err)
		}
		if heal, active := heals[command.Number]; active {
			heal()
			delete(heals, command.Number)
		}
		switch {
		case len(command.Group) == 0:
		case command.Mode == "":
			heals[command.Number] = gate.Isolate(command.Group)
		case dials == nil:
			return trace.BadParameter("cut %d has mode %q, but this process cannot cut the connections that it opens", command.Number, command.Mode)
		default:
			end, err := dials.Begin(command.Group, command.Mode)
			if err != nil {
				return trace.Wrap(err)
			}
			heals[command.Number] = end
		}
	}
}
