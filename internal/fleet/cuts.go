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

// cutCommand tells a process, on its standard input, that a group is cut off, or with
// an empty group that the cut of this number has ended.
type cutCommand struct {
	Number int            `json:"number"`
	Group  []netip.Prefix `json:"group"`
}

// cuts are the groups that are cut off now. It is safe for concurrent use.
type cuts struct {
	gate *zonedelay.Gate // of the stand-ins in this process

	mutex  sync.Mutex
	number int
	active []cutCommand
}

// begin cuts a group off for the stand-ins and for the processes, and returns what
// ends the cut.
func (c *cuts) begin(group []netip.Prefix, processes []*Process) (end func() error, err error) {
	c.mutex.Lock()
	c.number++
	command := cutCommand{Number: c.number, Group: group}
	c.active = append(c.active, command)
	c.mutex.Unlock()
	heal := c.gate.Cut(group)
	end = func() error {
		heal()
		c.mutex.Lock()
		c.active = slices.DeleteFunc(c.active, func(present cutCommand) bool { return present.Number == command.Number })
		c.mutex.Unlock()
		return tell(processes, cutCommand{Number: command.Number})
	}
	return end, tell(processes, command)
}

// tellAll tells a process that has just started what is cut off.
func (c *cuts) tellAll(process *Process) error {
	c.mutex.Lock()
	active := slices.Clone(c.active)
	c.mutex.Unlock()
	for _, command := range active {
		if err := tell([]*Process{process}, command); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// CutOff cuts groups of addresses off from the process until the function that it returns is called.
func (p *Process) CutOff(number int, group []netip.Prefix) (heal func() error, err error) {
	err = tell([]*Process{p}, cutCommand{Number: number, Group: group})
	return func() error { return tell([]*Process{p}, cutCommand{Number: number}) }, err
}

// tell sends a command to the processes that run.
func tell(processes []*Process, command cutCommand) error {
	line, err := json.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	var problems []error
	for _, process := range processes {
		if process.Running() {
			problems = append(problems, process.tell(append(line, '\n')))
		}
	}
	return trace.NewAggregate(problems...)
}

// ApplyCutCommands lets the commands that a fleet writes to a process's standard input take
// effect on the process's gate, and returns when the input ends.
func ApplyCutCommands(input io.Reader, gate *zonedelay.Gate) error {
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
		if len(command.Group) > 0 {
			heals[command.Number] = gate.Cut(command.Group)
		}
	}
}
