package authority

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// defaultMaximumOut bounds the engines of a service that are out at once when no
// declared bound says more.
const defaultMaximumOut = 1

// checkBounds demands that the order keeps the declared bounds and the weight
// store's budget.
func (c *Commander) checkBounds(state *controlstate.State, engine *engine, wanted *v1.Order) error {
	if drawsWeights(wanted.Action) {
		if loads := c.countLoads(state); loads >= c.config.MaximumLoads {
			return trace.Wrap(ErrTooManyLoads, "%d of %d are under way", loads, c.config.MaximumLoads)
		}
	}
	if !takesOut(wanted.Action) {
		return nil
	}
	bounds := boundsOf(state, engine.last.Service)
	if c.config.Safeguards.IsEnabled(SafeguardOutOfServiceBound) {
		if err := c.checkOut(state, engine, bounds); err != nil {
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

// checkOut demands room for one more engine out, over the whole service and in the
// engine's zone. A zone has its own bound only when one is declared.
func (c *Commander) checkOut(state *controlstate.State, engine *engine, bounds []*v1.Bound) error {
	service, zone := engine.last.Service, engine.last.Zone
	scopes := []struct {
		zone    string
		limit   int
		limited bool
	}{
		{"", defaultMaximumOut, true},
		{zone, 0, false},
	}
	for i := range scopes {
		if limit, declared := smallestOut(bounds, scopes[i].zone); declared {
			scopes[i].limit, scopes[i].limited = limit, true
		}
	}
	for _, scope := range scopes {
		out := c.countOut(state, service, scope.zone)
		if scope.limited && out >= scope.limit {
			return trace.Wrap(ErrTooManyOutOfService, "%d of %d of service %q in zone %q are out; wait, or declare a larger maximum_out",
				out, scope.limit, service, scope.zone)
		}
	}
	return nil
}

// smallestOut returns the smallest declared bound of a scope; the empty zone is the
// whole service.
func smallestOut(bounds []*v1.Bound, zone string) (limit int, declared bool) {
	for _, bound := range bounds {
		if bound.Zone != zone {
			continue
		}
		most := max(int(bound.MaximumOut), defaultMaximumOut)
		if !declared || most < limit {
			limit, declared = most, true
		}
	}
	return limit, declared
}

// countOut counts the engines of a service, in one zone or (empty) in all, that are
// out or about to be: by an order, by one being committed, or by their own word.
func (c *Commander) countOut(state *controlstate.State, service, zone string) int {
	count := 0
	for _, name := range c.names {
		engine, record := c.engines[name], state.Engine(name)
		if ownService, ownZone := engine.placed(record); ownService != service || (zone != "" && ownZone != zone) {
			continue
		}
		outstanding := record.GetOutstanding() != nil && takesOut(record.Outstanding.Action)
		pending := engine.ordering != nil && engine.ordering.out
		own := engine.last.State == enginecontract.StateDraining || engine.last.State == enginecontract.StateChanging
		if outstanding || pending || own || record.GetDrained() {
			count++
		}
	}
	return count
}

// countLoads counts the orders that draw from the weight store.
func (c *Commander) countLoads(state *controlstate.State) int {
	count := 0
	for _, name := range c.names {
		order := state.Engine(name).GetOutstanding()
		pending := c.engines[name].ordering
		if (order != nil && drawsWeights(order.Action)) || (pending != nil && pending.loads) {
			count++
		}
	}
	return count
}

// checkRoles demands that a role change keeps the declared minimum and maximum.
func (c *Commander) checkRoles(state *controlstate.State, engine *engine, wanted *v1.Order, bounds []*v1.Bound) error {
	from, to := engineroles.FromContract(engine.last.Role), wanted.Role
	for _, bound := range bounds {
		if bound.Zone != "" && bound.Zone != engine.last.Zone {
			continue
		}
		count := c.countRole(state, engine.last.Service, bound.Zone, bound.Role)
		if bound.Role == from && count <= int(bound.Minimum) {
			return trace.Wrap(ErrRoleBound, "service %q in zone %q has %d engines in role %s; at least %d",
				engine.last.Service, bound.Zone, count, engineroles.ToContract(from), bound.Minimum)
		}
		if bound.Role == to && bound.Maximum != 0 && count >= int(bound.Maximum) {
			return trace.Wrap(ErrRoleBound, "service %q in zone %q has %d engines in role %s; at most %d",
				engine.last.Service, bound.Zone, count, engineroles.ToContract(to), bound.Maximum)
		}
	}
	return nil
}

// countRole counts the engines that play a role or are changing to it.
func (c *Commander) countRole(state *controlstate.State, service, zone string, role v1.Role) int {
	count := 0
	for _, name := range c.names {
		engine := c.engines[name]
		if !engine.heard || engine.last.Service != service || (zone != "" && engine.last.Zone != zone) {
			continue
		}
		plays := engineroles.FromContract(engine.last.Role)
		if order := state.Engine(name).GetOutstanding(); order.GetAction() == v1.OrderAction_ORDER_ACTION_SET_ROLE {
			plays = order.Role
		} else if engine.ordering != nil && engine.ordering.target != "" {
			plays = engineroles.FromContract(engine.ordering.target)
		}
		if plays == role {
			count++
		}
	}
	return count
}
