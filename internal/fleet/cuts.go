package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// cutCommand is sent to a process on its standard input. It cuts the addresses of Group off from all others; with an
// empty Group it ends the cut with the same Number. With a Mode, it applies to the connections that the process opens to
// the group. With Network, it applies to the packets that arrive at the process's sockets. With Lost, that share of the datagrams to and
// from the group is lost and nothing else happens.
type cutCommand struct {
	Number  int               `json:"number"`
	Group   []netip.Prefix    `json:"group"`
	Mode    zonedelay.CutMode `json:"mode,omitempty"`
	Network *silence.Cut      `json:"network,omitempty"`
	Lost    float64           `json:"lost,omitempty"`
}

// CutTargets are the means by which a process applies cuts to its own traffic; it rejects commands whose means is nil.
type CutTargets struct {
	// Gate partitions the connections that the process wraps with it.
	Gate *zonedelay.Partitioner
	// Dials are the connections that the process opens.
	Dials *zonedelay.DialCuts
	// Network acts on the process's sockets, however they were opened.
	Network *silence.Network
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

// LoseDatagrams loses a share of the process's datagrams to and from a group of addresses until heal is called.
func (p *Process) LoseDatagrams(number int, group []netip.Prefix, share float64) (heal func() error, err error) {
	err = sendCutCommand([]*Process{p}, cutCommand{Number: number, Group: group, Lost: share})
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

// ApplyCutCommands applies the commands that a fleet writes to a process's standard input. It returns when the input ends.
func ApplyCutCommands(input io.Reader, targets CutTargets) error {
	ends := map[int]func() error{}
	for commands := json.NewDecoder(input); ; {
		var command cutCommand
		if err := commands.Decode(&command); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return trace.Wrap(err)
		}
		if end, active := ends[command.Number]; active {
			delete(ends, command.Number)
			if err := end(); err != nil {
				return trace.Wrap(err, "ending cut %d", command.Number)
			}
		}
		if len(command.Group) == 0 && command.Network == nil {
			continue
		}
		end, err := targets.begin(command)
		if err != nil {
			return trace.Wrap(err, "beginning cut %d", command.Number)
		}
		ends[command.Number] = end
	}
}

// begin begins a cut and returns the function that ends it.
func (t CutTargets) begin(command cutCommand) (end func() error, err error) {
	var heal func()
	switch {
	case command.Network != nil && t.Network != nil:
		return t.Network.BeginCut(*command.Network)
	case command.Network != nil:
		return nil, trace.BadParameter("this process cannot drop the packets that it receives")
	case command.Lost > 0:
		heal = t.Gate.LoseDatagrams(command.Group, command.Lost)
	case command.Mode == "":
		heal = t.Gate.Isolate(command.Group)
	case t.Dials == nil:
		return nil, trace.BadParameter("this process cannot cut the connections that it opens, as mode %q does", command.Mode)
	default:
		heal, err = t.Dials.Begin(command.Group, command.Mode)
	}
	return func() error { heal(); return nil }, err
}
