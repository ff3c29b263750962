package control

import (
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/replicaplan"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// replicaBoot is how long a new replica takes until it serves.
const replicaBoot = 4 * time.Second

// replicaPlatform takes orders of replicas and lists those that serve.
type replicaPlatform struct {
	world *world
	// looks tells that it looks at fencing tokens, lose that answers are lost.
	looks, lose bool
	highest     map[string]uint64
	// serving is how many of each group serve, life tells later orders from earlier ones.
	serving  map[replicaplan.Group]int
	life     map[replicaplan.Group]int
	arrivals []arrivedReplicaOrder
}

// arrivedReplicaOrder is an order that reached the platform.
type arrivedReplicaOrder struct {
	at    time.Duration
	order OrderReplicas
	// agreed tells that a controller had applied a number for the group by then: it is committed.
	agreed bool
}

// scaled configures a controller that orders replicas.
func scaled(config *Config) {
	counting(config)
	config.PriorPrefillShare = 0
	config.ReadConfiguration = func([]byte) (serving.Configuration, error) {
		return serving.Configuration{Services: []serving.Service{{Name: "s", Scaling: &serving.Scaling{
			Min: 1, Max: 30, BootTime: replicaBoot, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1.1, "c": 1.2},
		}}}}, nil
	}
}

// startReplicas adds a platform with so many replicas that stay in each zone.
func (w *world) startReplicas(onDemand int) *replicaPlatform {
	platform := &replicaPlatform{
		world: w, looks: true, highest: map[string]uint64{}, serving: map[replicaplan.Group]int{}, life: map[replicaplan.Group]int{},
	}
	for _, zone := range []string{"a", "b", "c"} {
		platform.serving[replicaplan.Group{Service: "s", Zone: zone}] = onDemand
	}
	w.replicas = platform
	return platform
}

// list is what the platform shows.
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

// call takes an order that the runtime sends, if it is in time.
func (p *replicaPlatform) call(controller *testController, life int, order OrderReplicas) {
	answer := func(outcome duty.Outcome) {
		p.world.deliver("platform", controller, life, ReplicaOrderFinished{Order: order, Outcome: outcome})
	}
	if controller.cut {
		answer(duty.Lost)
		return
	}
	p.world.after(linkDelay, func() {
		if p.world.now > order.NotAfter {
			answer(duty.Refused)
			return
		}
		p.arrivals = append(p.arrivals, arrivedReplicaOrder{at: p.world.now, order: order, agreed: p.agreed(order)})
		if p.looks && order.Fence < p.highest[order.Group.Zone] {
			answer(duty.Declined)
			return
		}
		p.highest[order.Group.Zone] = max(order.Fence, p.highest[order.Group.Zone])
		p.carryOut(order)
		if p.lose {
			answer(duty.Lost)
			return
		}
		answer(duty.Accepted)
	})
}

// agreed reports whether a number for the order's group is committed.
func (p *replicaPlatform) agreed(order OrderReplicas) bool {
	count := 0
	for _, controller := range p.world.controllers {
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

func (p *replicaPlatform) carryOut(order OrderReplicas) {
	p.life[order.Group]++
	life := p.life[order.Group]
	if order.Desired <= p.serving[order.Group] {
		p.serving[order.Group] = order.Desired
		return
	}
	p.world.after(replicaBoot, func() {
		if p.life[order.Group] == life {
			p.serving[order.Group] = order.Desired
		}
	})
}

// kinds counts all replicas that serve by kind.
func (p *replicaPlatform) kinds() (onDemand, spots int) {
	for group, count := range p.serving {
		if group.Spot {
			spots += count
		} else {
			onDemand += count
		}
	}
	return onDemand, spots
}
