package control

import (
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/replicaplan"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// replicaBoot is the time that a new replica takes to start serving.
const replicaBoot = 4 * time.Second

// replicaPlatform accepts orders of replicas and lists the replicas that serve.
type replicaPlatform struct {
	cluster *testCluster
	// checksFences means that the platform checks fencing tokens, losesAnswers that its answers are lost.
	checksFences, losesAnswers bool
	highest                    map[string]uint64
	// serving is the number of serving replicas of each group; latestOrder numbers the orders of each group.
	serving     map[replicaplan.Group]int
	latestOrder map[replicaplan.Group]int
	arrivals    []arrivedReplicaOrder
}

// arrivedReplicaOrder is an order that reached the platform.
type arrivedReplicaOrder struct {
	at    time.Duration
	order OrderReplicas
	// agreed means that a controller had applied a number for the group by then, so that it was committed.
	agreed bool
}

// withScaling configures a controller that orders replicas.
func withScaling(config *Config) {
	withUsage(config)
	config.PriorPrefillShare = 0
	config.ReadServices = func([]byte) ([]serving.Service, error) {
		return []serving.Service{{Name: "s", Scaling: &serving.Scaling{
			Min: 1, Max: 30, BootTime: replicaBoot, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1.1, "c": 1.2},
		}}}, nil
	}
}

// startReplicas adds a platform with a number of on-demand replicas in each zone.
func (w *testCluster) startReplicas(onDemand int) *replicaPlatform {
	platform := &replicaPlatform{
		cluster: w, checksFences: true, highest: map[string]uint64{}, serving: map[replicaplan.Group]int{}, latestOrder: map[replicaplan.Group]int{},
	}
	for _, zone := range []string{"a", "b", "c"} {
		platform.serving[replicaplan.Group{Service: "s", Zone: zone}] = onDemand
	}
	w.replicas = platform
	return platform
}

// list returns the replicas that serve.
func (p *replicaPlatform) list() []*v1.ListedBackEnd {
	var listed []*v1.ListedBackEnd
	for group, count := range p.serving {
		for number := range count {
			listed = append(listed, &v1.ListedBackEnd{
				Id: fmt.Sprintf("%s-%t-%02d", group.Zone, group.Spot, number), Service: "s", Zone: group.Zone, Spot: group.Spot, Slots: 8,
			})
		}
	}
	return listed
}

// call delivers an order to the platform if it arrives in time.
func (p *replicaPlatform) call(controller *testController, incarnation int, order OrderReplicas) {
	answer := func(outcome duty.Outcome) {
		p.cluster.deliver("platform", controller, incarnation, ReplicaOrderFinished{Order: order, Outcome: outcome})
	}
	if controller.cut {
		answer(duty.Lost)
		return
	}
	p.cluster.after(linkDelay, func() {
		if p.cluster.now > order.NotAfter {
			answer(duty.Refused)
			return
		}
		p.arrivals = append(p.arrivals, arrivedReplicaOrder{at: p.cluster.now, order: order, agreed: p.agreed(order)})
		if p.checksFences && order.Fence < p.highest[order.Group.Zone] {
			answer(duty.Declined)
			return
		}
		p.highest[order.Group.Zone] = max(order.Fence, p.highest[order.Group.Zone])
		p.apply(order)
		if p.losesAnswers {
			answer(duty.Lost)
			return
		}
		answer(duty.Accepted)
	})
}

// agreed reports whether a number for the order's group is committed.
func (p *replicaPlatform) agreed(order OrderReplicas) bool {
	count := 0
	for _, controller := range p.cluster.controllers {
		if controller.core == nil {
			continue
		}
		for _, agreed := range controller.core.State().ReplicaTarget("s").GetCounts() {
			if agreed.GetZone() == order.Group.Zone && agreed.GetSpot() == order.Group.Spot {
				count++
				break
			}
		}
	}
	return count > 0
}

func (p *replicaPlatform) apply(order OrderReplicas) {
	p.latestOrder[order.Group]++
	number := p.latestOrder[order.Group]
	if order.Desired <= p.serving[order.Group] {
		p.serving[order.Group] = order.Desired
		return
	}
	p.cluster.after(replicaBoot, func() {
		if p.latestOrder[order.Group] == number {
			p.serving[order.Group] = order.Desired
		}
	})
}

// countByKind counts all serving replicas by kind.
func (p *replicaPlatform) countByKind() (onDemand, spots int) {
	for group, count := range p.serving {
		if group.Spot {
			spots += count
		} else {
			onDemand += count
		}
	}
	return onDemand, spots
}
