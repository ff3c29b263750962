package simulation

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// propagationChecks watch how the configuration reaches the nodes.
type propagationChecks struct {
	checks *checks
	// worths is the worth of the registration kind at each revision.
	worths map[uint64]float64
	// gateways and controllers are the highest revisions that processes have been at.
	gateways    map[string]uint64
	controllers map[string]uint64
}

func newPropagationChecks(c *checks) propagationChecks {
	return propagationChecks{checks: c, worths: map[uint64]float64{}, gateways: map[string]uint64{}, controllers: map[string]uint64{}}
}

// checkController takes note of the configuration that a controller is at and checks
// that it does not go back.
func (s *propagationChecks) checkController(c *controller) {
	state := c.core.State()
	revision := state.Revision()
	if revision < s.controllers[c.name] {
		s.checks.fail("revisions never revert", "%s goes from revision %d to %d", c.name, s.controllers[c.name], revision)
	}
	if revision == s.controllers[c.name] {
		return
	}
	s.controllers[c.name] = revision
	worth := state.Object(v1.ObjectType_OBJECT_TYPE_KIND, registrationKind).GetKind().GetWorth()
	if other, known := s.worths[revision]; known && other != worth {
		s.checks.fail("agreement", "%s has worth %v at revision %d where another had %v", c.name, worth, revision, other)
	}
	s.worths[revision] = worth
}

// forgetController takes note of a new process, which begins at its snapshot.
func (s *propagationChecks) forgetController(c *controller) { delete(s.controllers, c.name) }

// checkGatewaySynced checks that a gateway never goes back, over restarts too, and that
// what it has in force is what was accepted as its revision. A gateway without any
// configuration serves no one.
func (c *checks) checkGatewaySynced(g *gateway) {
	revision := g.state.Revision()
	if revision == 0 {
		return
	}
	if revision < c.propagation.gateways[g.name] {
		c.fail("revisions never revert", "%s goes from revision %d to %d", g.name, c.propagation.gateways[g.name], revision)
	}
	c.propagation.gateways[g.name] = revision
	kind, isDeclared := g.state.Snapshot().Kind(registrationKind)
	if worth, known := c.propagation.worths[revision]; isDeclared && known && kind.Spec.GetWorth() != worth {
		c.fail("revisions never revert", "%s has worth %v in force at revision %d, which says %v",
			g.name, kind.Spec.GetWorth(), revision, worth)
	}
}
