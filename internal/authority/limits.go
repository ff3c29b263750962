package authority

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// defaultMaximumOut is the maximum number of a service's engines that may be out of service at once
// unless a declared bound is higher.
const defaultMaximumOut = 1

// checkBounds returns an error if the order would exceed a declared bound or the maximum number of
// loads from the weight store.
func (c *Commander) checkBounds(state *controlstate.State, engine *engine, wanted *v1.Order) error {
	if loadsWeights(wanted.Action) {
		if loads := c.countLoads(state); loads >= c.config.MaximumLoads {
			return trace.Wrap(ErrTooManyLoads, "%d of %d are under way", loads, c.config.MaximumLoads)
		}
	}
	if !takesOutOfService(wanted.Action) {
		return nil
	}
	bounds := boundsOf(state, engine.state.Service)
	if c.config.Safeguards.IsEnabled(SafeguardOutOfServiceBound) {
		if err := c.checkOutOfService(state, engine, bounds); err != nil {
			return err
		}
	}
	if wanted.Action == v1.OrderAction_ORDER_ACTION_SET_ROLE {
		return c.checkRoles(state, engine, wanted, bounds)
	}
	return nil
}

func boundsOf(state *controlstate.State, service string) []*v1.Bound {
	var bounds []*v1.Bound
	for _, object := range state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_BOUND) {
		if bound := object.GetBound(); bound.Service == service {
			bounds = append(bounds, bound)
		}
	}
	return bounds
}

// checkOutOfService returns an error if no further engine may go out of service, in the whole service
// or in the engine's zone. A zone has a bound only when one is declared.
func (c *Commander) checkOutOfService(state *controlstate.State, engine *engine, bounds []*v1.Bound) error {
	service, zone := engine.state.Service, engine.state.Zone
	scopes := []struct {
		zone    string
		limit   int
		limited bool
	}{
		{"", defaultMaximumOut, true},
		{zone, 0, false},
	}
	for i := range scopes {
		if limit, declared := smallestMaximumOut(bounds, scopes[i].zone); declared {
			scopes[i].limit, scopes[i].limited = limit, true
		}
	}
	for _, scope := range scopes {
		outOfService := c.countOutOfService(state, service, scope.zone)
		if scope.limited && outOfService >= scope.limit {
			return trace.Wrap(ErrTooManyOutOfService, "%d of %d of service %q in zone %q are out; wait, or declare a larger maximum_out",
				outOfService, scope.limit, service, scope.zone)
		}
	}
	return nil
}

// smallestMaximumOut returns the smallest declared limit on engines out of service in a zone, at least
// defaultMaximumOut, and whether one is declared; the empty zone means the whole service.
func smallestMaximumOut(bounds []*v1.Bound, zone string) (limit int, declared bool) {
	for _, bound := range bounds {
		if bound.Zone != zone {
			continue
		}
		maximum := max(int(bound.MaximumOut), defaultMaximumOut)
		if !declared || maximum < limit {
			limit, declared = maximum, true
		}
	}
	return limit, declared
}

// countOutOfService counts the engines of a service, in one zone or (empty) in all, that are out of
// service or about to be: by an order, by a pending order, or by their reported state.
func (c *Commander) countOutOfService(state *controlstate.State, service, zone string) int {
	count := 0
	for _, name := range c.names {
		engine, record := c.engines[name], state.Engine(name)
		if engineService, engineZone := engine.location(record); engineService != service || (zone != "" && engineZone != zone) {
			continue
		}
		outstanding := record.GetOutstanding() != nil && takesOutOfService(record.Outstanding.Action)
		pending := engine.pendingOrder != nil && engine.pendingOrder.outOfService
		changing := engine.state.State == enginecontract.StateDraining || engine.state.State == enginecontract.StateChanging
		if outstanding || pending || changing || record.GetDrained() {
			count++
		}
	}
	return count
}

// countLoads counts the orders that load from the weight store.
func (c *Commander) countLoads(state *controlstate.State) int {
	count := 0
	for _, name := range c.names {
		order := state.Engine(name).GetOutstanding()
		pending := c.engines[name].pendingOrder
		if (order != nil && loadsWeights(order.Action)) || (pending != nil && pending.loadsWeights) {
			count++
		}
	}
	return count
}

// checkRoles returns an error if a role change would violate a declared minimum or maximum.
func (c *Commander) checkRoles(state *controlstate.State, engine *engine, wanted *v1.Order, bounds []*v1.Bound) error {
	from, to := engineroles.FromContract(engine.state.Role), wanted.Role
	for _, bound := range bounds {
		if bound.Zone != "" && bound.Zone != engine.state.Zone {
			continue
		}
		count := c.countRole(state, engine.state.Service, bound.Zone, bound.Role)
		if bound.Role == from && count <= int(bound.Minimum) {
			return trace.Wrap(ErrRoleBound, "service %q in zone %q has %d engines in role %s; at least %d",
				engine.state.Service, bound.Zone, count, engineroles.ToContract(from), bound.Minimum)
		}
		if bound.Role == to && bound.Maximum != 0 && count >= int(bound.Maximum) {
			return trace.Wrap(ErrRoleBound, "service %q in zone %q has %d engines in role %s; at most %d",
				engine.state.Service, bound.Zone, count, engineroles.ToContract(to), bound.Maximum)
		}
	}
	return nil
}

// countRole counts the engines that have a role or are changing to it.
func (c *Commander) countRole(state *controlstate.State, service, zone string, role v1.Role) int {
	count := 0
	for _, name := range c.names {
		engine := c.engines[name]
		if !engine.hasState || engine.state.Service != service || (zone != "" && engine.state.Zone != zone) {
			continue
		}
		effectiveRole := engineroles.FromContract(engine.state.Role)
		if order := state.Engine(name).GetOutstanding(); order.GetAction() == v1.OrderAction_ORDER_ACTION_SET_ROLE {
			effectiveRole = order.Role
		} else if engine.pendingOrder != nil && engine.pendingOrder.targetRole != "" {
			effectiveRole = engineroles.FromContract(engine.pendingOrder.targetRole)
		}
		if effectiveRole == role {
			count++
		}
	}
	return count
}
