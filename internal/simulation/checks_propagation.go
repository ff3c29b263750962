package simulation

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// propagationChecks verify how the configuration reaches controllers and gateways.
type propagationChecks struct {
	checks *checks
	// worths holds, by revision, the worth of the request kind that registrationObject declares.
	worths map[uint64]float64
	// gateways and controllers hold, by name, the highest revision that each process has reached.
	gateways    map[string]uint64
	controllers map[string]uint64
}

func newPropagationChecks(c *checks) propagationChecks {
	return propagationChecks{checks: c, worths: map[uint64]float64{}, gateways: map[string]uint64{}, controllers: map[string]uint64{}}
}

// checkController checks that a controller's revision never reverts, and that all controllers agree on the content of
// each revision.
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

// forgetController drops the revision recorded for a controller whose process restarts, since the restarted process
// begins at the revision of its snapshot.
func (s *propagationChecks) forgetController(c *controller) { delete(s.controllers, c.name) }

// checkGatewaySynced checks that a gateway's revision never reverts, also over restarts, and that the configuration
// that the gateway applies is the one that controllers accepted as this revision. A gateway without any configuration
// serves no requests and is left out.
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
		c.fail("revisions never revert", "%s applies worth %v at revision %d, whose worth is %v",
			g.name, kind.Spec.GetWorth(), revision, worth)
	}
}
