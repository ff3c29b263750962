package soak

import (
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// replaceController starts a controller with an empty disk, a new name and a new address in place of one that is not running,
// and returns it. The settings of all processes name the new seeds from then on.
func (s *site) replaceController(index int) (*fleet.Process, error) {
	s.operator.Controllers[index] = hostPort(address(groupControllers, s.controllerCount), portOuter)
	added, err := s.newController(s.operator.Controllers[index])
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.recorder.AddController(added.Name)
	s.controllers[index] = added
	if err := s.disableBootstrap(added); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.updateSeeds(); err != nil {
		return nil, trace.Wrap(err)
	}
	return added, trace.Wrap(added.Start())
}

// updateSeeds writes the seeds into the settings of all processes, which read them when the file changes.
func (s *site) updateSeeds() error {
	for _, process := range s.controllers {
		s.configs[process.Name]["seeds"] = s.seeds()
		if err := writeSettings(process.SettingsPath, s.configs[process.Name]); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, relay := range s.relays {
		s.configs[relay.Name]["controllers"] = s.seeds()
		if err := writeSettings(relay.SettingsPath, s.configs[relay.Name]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// controllerIP returns the IP of a controller.
func (s *site) controllerIP(index int) netip.Addr {
	return netip.MustParseAddrPort(s.operator.Controllers[index]).Addr()
}

// adminAddress returns the address at which a controller reports its readiness.
func (s *site) adminAddress(index int) string {
	return hostPort(s.controllerIP(index).String(), portAdmin)
}
