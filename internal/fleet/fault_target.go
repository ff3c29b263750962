package fleet

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// faultTarget is a process or stand-in to which a fault can be applied.
type faultTarget struct {
	name string
	zone string
	// address is the target's IP:port.
	address string
	// kill, start and pause are nil where the target does not support them.
	kill  func()
	start func() error
	pause func(time.Duration)
}

// allTargets lists all processes and stand-ins of the fleet.
func (f *Fleet) allTargets() []faultTarget {
	var found []faultTarget
	for _, process := range f.Processes {
		found = append(found, faultTarget{
			name: process.Name, zone: process.Zone, address: process.Listen, kill: process.Kill, pause: process.Pause,
			start: func() error {
				if err := process.Start(); err != nil {
					return trace.Wrap(err)
				}
				return f.cuts.resendActive(process)
			},
		})
	}
	for _, engine := range f.StandIns.Engines {
		found = append(found, faultTarget{
			name: engine.Name(), zone: engine.Config().Zone, address: engine.Address(),
			kill: engine.Crash, start: engine.Restart, pause: engine.Freeze,
		})
	}
	for _, page := range f.StandIns.Pages {
		found = append(found, faultTarget{
			name: page.Name(), zone: page.Config().Zone, address: page.Address(),
			kill: page.Crash, start: page.Restart, pause: page.Freeze,
		})
	}
	return append(found,
		faultTarget{name: MachineListName, address: f.StandIns.Machines.Address()},
		faultTarget{name: WeightStoreName, address: f.StandIns.WeightStore.Address()},
	)
}

// resolveTargets returns the targets of a fault. It fails when no process, stand-in or zone has the name in the
// fault, or when a target does not support the fault.
func (f *Fleet) resolveTargets(fault Fault) ([]faultTarget, error) {
	var found []faultTarget
	for _, target := range f.allTargets() {
		if target.name != fault.Process && (fault.Zone == "" || target.zone != fault.Zone) {
			continue
		}
		if fault.Fault != FaultCutOff && target.kill == nil {
			return nil, trace.BadParameter("fault %s at %v: %s supports only cut-off", fault.Fault, fault.At, target.name)
		}
		found = append(found, target)
	}
	if len(found) == 0 {
		return nil, trace.BadParameter("fault %s at %v: the fleet has no process %q or zone %q", fault.Fault, fault.At, fault.Process, fault.Zone)
	}
	return found, nil
}

// addressPrefix returns the target's IP as a prefix of a single address.
func (m faultTarget) addressPrefix() (netip.Prefix, error) {
	address, err := netip.ParseAddrPort(m.address)
	if err != nil {
		return netip.Prefix{}, trace.Wrap(err)
	}
	return netip.PrefixFrom(address.Addr(), address.Addr().BitLen()), nil
}
