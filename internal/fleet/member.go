package fleet

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// member is a process or stand-in that faults can strike.
type member struct {
	name string
	zone string
	// address is its IP:port.
	address string
	// kill, start and pause are nil when they cannot be done.
	kill  func()
	start func() error
	pause func(time.Duration)
}

// members lists everything in the fleet that faults can strike.
func (f *Fleet) members() []member {
	var found []member
	for _, process := range f.Processes {
		found = append(found, member{
			name: process.Name, zone: process.Zone, address: process.Listen, kill: process.Kill, pause: process.Pause,
			start: func() error {
				if err := process.Start(); err != nil {
					return trace.Wrap(err)
				}
				return f.cuts.tellAll(process)
			},
		})
	}
	for _, engine := range f.StandIns.Engines {
		found = append(found, member{
			name: engine.Name(), zone: engine.Config().Zone, address: engine.Address(),
			kill: engine.Crash, start: engine.Restart, pause: engine.Freeze,
		})
	}
	for _, page := range f.StandIns.Pages {
		found = append(found, member{
			name: page.Name(), zone: page.Config().Zone, address: page.Address(),
			kill: page.Crash, start: page.Restart, pause: page.Freeze,
		})
	}
	return append(found,
		member{name: MachineListName, address: f.StandIns.Machines.Address()},
		member{name: WeightStoreName, address: f.StandIns.WeightStore.Address()},
	)
}

// targets returns what a fault strikes. It fails when nothing has the name, or when
// the fault cannot happen to it.
func (f *Fleet) targets(fault Fault) ([]member, error) {
	var found []member
	for _, present := range f.members() {
		if present.name != fault.Process && (fault.Zone == "" || present.zone != fault.Zone) {
			continue
		}
		if fault.Fault != FaultCutOff && present.kill == nil {
			return nil, trace.BadParameter("fault %s at %v: %s can be cut off alone", fault.Fault, fault.At, present.name)
		}
		found = append(found, present)
	}
	if len(found) == 0 {
		return nil, trace.BadParameter("fault %s at %v: the fleet has no process %q or zone %q", fault.Fault, fault.At, fault.Process, fault.Zone)
	}
	return found, nil
}

// prefix is the member's IP as a group of one.
func (m member) prefix() (netip.Prefix, error) {
	address, err := netip.ParseAddrPort(m.address)
	if err != nil {
		return netip.Prefix{}, trace.Wrap(err)
	}
	return netip.PrefixFrom(address.Addr(), address.Addr().BitLen()), nil
}
