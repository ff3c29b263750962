package scale

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"runtime/pprof"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// profileWindow waits for the window and takes processor profiles when the members are
// processes of their own.
func (f *Fleet) profileWindow(ctx context.Context, window time.Duration, leader int) ([]ProfileUsage, error) {
	if !f.separate() {
		if !pause.For(ctx, window) {
			return nil, trace.Wrap(ctx.Err())
		}
		return nil, nil
	}
	var own bytes.Buffer
	if err := pprof.StartCPUProfile(&own); err != nil {
		return nil, trace.Wrap(err)
	}
	parts := make([]map[string]float64, len(f.controllers))
	var group errgroup.Group
	for controller := range f.controllers {
		group.Go(func() (err error) {
			parts[controller], err = f.profileController(ctx, controller, window)
			return trace.Wrap(err)
		})
	}
	err := group.Wait()
	pprof.StopCPUProfile()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	gateways, err := profileParts(&own, gatewayParts, window)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	usages := profileUsages(RoleGateway, gateways, len(f.Nodes))
	sums, counts := map[Role]map[string]float64{}, map[Role]int{}
	for controller, each := range parts {
		role := f.roleOf(controller, leader)
		if sums[role] == nil {
			sums[role] = map[string]float64{}
		}
		counts[role]++
		for part, share := range each {
			sums[role][part] += share
		}
	}
	for _, role := range controllerRoles {
		usages = append(usages, profileUsages(role, sums[role], counts[role])...)
	}
	return usages, nil
}

var controllerRoles = []Role{RoleLeader, RoleVoter, RoleStandby}

// profileUsages lists parts, the largest first, for one member of a role.
func profileUsages(role Role, parts map[string]float64, members int) []ProfileUsage {
	var usages []ProfileUsage
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		usages = append(usages, ProfileUsage{Role: role, Part: part, Processor: parts[part] / float64(members)})
	}
	slices.SortStableFunc(usages, func(a, b ProfileUsage) int { return cmp.Compare(b.Processor, a.Processor) })
	return usages
}
