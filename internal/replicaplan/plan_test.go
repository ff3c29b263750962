package replicaplan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// testScaling allows 94 replicas in each of three zones.
func testScaling() Scaling {
	return Scaling{
		Service: "s", Min: 1, Max: 94, BootTime: 4 * time.Second, SpotPrice: 0.18,
		ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1.0},
	}
}

// testZones are the zones of testScaling.
var testZones = []string{"a", "b", "c"}

// platform simulates the platform that runs and lists replicas.
type platform struct {
	scaling Scaling
	now     time.Duration
	// desired is the last order of each group; booting holds the times at which replicas start to serve.
	desired map[Group]int
	ready   map[Group]int
	booting map[Group][]time.Duration
	// shortageUntil is the time until which no spot replicas are available.
	shortageUntil time.Duration
	// loseAnswer decides whether the answer to a call is lost, delay for how long the call is deferred.
	loseAnswer func() bool
	delay      func() time.Duration
	// delayed are the calls to be carried out later.
	delayed []delayedOrder
	// changes counts the changes of desired per group.
	changes map[Group]int
}

type delayedOrder struct {
	at    time.Duration
	order Order
}

func newPlatform(scaling Scaling, onDemand int) *platform {
	p := &platform{
		scaling: scaling, desired: map[Group]int{}, ready: map[Group]int{}, booting: map[Group][]time.Duration{}, changes: map[Group]int{},
		loseAnswer: func() bool { return false }, delay: func() time.Duration { return 0 },
	}
	for _, zone := range testZones {
		group := Group{Service: "s", Zone: zone}
		p.desired[group], p.ready[group] = onDemand, onDemand
	}
	return p
}

// list returns the list of replicas that serve.
func (p *platform) list() map[Group]ListedCounts {
	listed := map[Group]ListedCounts{}
	for group, count := range p.ready {
		if count > 0 {
			listed[group] = ListedCounts{Ready: count}
		}
	}
	return listed
}

// order receives an order and returns the outcome of the call.
func (p *platform) order(order Order) duty.Outcome {
	if order.Group.Spot && order.Desired > p.ready[order.Group]+len(p.booting[order.Group]) && p.now < p.shortageUntil {
		return duty.Declined
	}
	if delay := p.delay(); delay > 0 {
		p.delayed = append(p.delayed, delayedOrder{at: p.now + delay, order: order})
		return duty.Lost
	}
	p.carryOut(order)
	if p.loseAnswer() {
		return duty.Lost
	}
	return duty.Accepted
}

func (p *platform) carryOut(order Order) {
	other := order.Group
	other.Spot = !other.Spot
	group := order.Group
	count := min(order.Desired, p.scaling.Max-p.ready[other]-len(p.booting[other]))
	if count != p.desired[group] {
		p.changes[group]++
	}
	p.desired[group] = count
	for p.ready[group]+len(p.booting[group]) < count {
		p.booting[group] = append(p.booting[group], p.now+p.scaling.BootTime)
	}
	if surplus := p.ready[group] + len(p.booting[group]) - count; surplus > 0 {
		cancelled := min(surplus, len(p.booting[group]))
		p.booting[group] = p.booting[group][:len(p.booting[group])-cancelled]
		p.ready[group] -= surplus - cancelled
	}
}

// reclaim takes away all spot replicas of a zone; none are available for some time.
func (p *platform) reclaim(zone string, shortage time.Duration) {
	group := Group{Service: "s", Zone: zone, Spot: true}
	p.ready[group], p.booting[group] = 0, nil
	p.shortageUntil = p.now + shortage
}

// advance advances the platform's time.
func (p *platform) advance(step time.Duration) {
	p.now += step
	for group, booting := range p.booting {
		for len(booting) > 0 && booting[0] <= p.now {
			p.ready[group]++
			booting = booting[1:]
		}
		p.booting[group] = booting
	}
	remaining := p.delayed[:0]
	for _, delayed := range p.delayed {
		if delayed.at <= p.now {
			p.carryOut(delayed.order)
			continue
		}
		remaining = append(remaining, delayed)
	}
	p.delayed = remaining
}

func (p *platform) counts() (onDemand, spots int) {
	for group, count := range p.ready {
		if group.Spot {
			spots += count
		} else {
			onDemand += count
		}
	}
	return onDemand, spots
}

// leader combines a plan with its orders.
type leader struct {
	plan   *Plan
	orders *Orders
	agreed *Desired
	work   float64
}

func newLeader(scaling Scaling, agreed *Desired) *leader {
	return &leader{plan: New(scaling), orders: NewOrders(), agreed: agreed}
}

// step plans once and issues the due orders.
func (l *leader) step(platform *platform) {
	listed := platform.list()
	*l.agreed = l.plan.Next(platform.now, Input{Listed: listed, Agreed: *l.agreed, Work: l.work})
	for _, order := range l.orders.DueOrders(platform.now, l.plan.BootTime(), *l.agreed, listed) {
		l.orders.RecordStart(platform.now, order)
		l.orders.RecordOutcome(platform.now, order, platform.order(order))
	}
}

func (l *leader) run(platform *platform, span time.Duration) {
	for end := platform.now + span; platform.now < end; {
		platform.advance(250 * time.Millisecond)
		l.step(platform)
	}
}

func TestSpotReplicasReplaceOnDemandOnes(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	leader := newLeader(testScaling(), &Desired{})
	leader.work = 20
	for platform.now < 30*time.Second {
		leader.run(platform, 250*time.Millisecond)
		onDemand, spots := platform.counts()
		require.GreaterOrEqual(t, onDemand+spots, 120, "no replica is released before another serves")
	}
	onDemand, spots := platform.counts()
	require.Zero(t, onDemand)
	require.Equal(t, 180, spots, "the operator's number remains after the loss of a zone")
	for _, zone := range testZones {
		require.Equal(t, 60, platform.ready[Group{Service: "s", Zone: zone, Spot: true}])
	}
}

// Half of the replicas stay on demand, evenly over the zones, and spot replicas replace the others.
func TestOnDemandShareIsKept(t *testing.T) {
	scaling := testScaling()
	scaling.OnDemandShare = 0.5
	platform := newPlatform(scaling, 40)
	leader := newLeader(scaling, &Desired{})
	leader.work = 20
	leader.run(platform, 30*time.Second)
	for _, zone := range testZones {
		require.Equal(t, 20, platform.ready[Group{Service: "s", Zone: zone}])
		require.Equal(t, 30, platform.ready[Group{Service: "s", Zone: zone, Spot: true}])
	}
	for _, zone := range testZones {
		platform.reclaim(zone, 30*time.Second)
	}
	leader.run(platform, 5*time.Second)
	onDemand, spots := platform.counts()
	require.Zero(t, spots)
	require.GreaterOrEqual(t, onDemand, 60)
}

// If all replicas stay on demand, nothing is ordered, even if some crash and come back.
func TestNothingIsOrderedWithoutSpotReplicas(t *testing.T) {
	scaling := testScaling()
	scaling.OnDemandShare = 1
	platform := newPlatform(scaling, 40)
	leader := newLeader(scaling, &Desired{})
	leader.work = 110
	leader.run(platform, 10*time.Second)
	platform.ready[Group{Service: "s", Zone: "a"}] = 10 // some have crashed and come back later
	leader.run(platform, 10*time.Second)
	platform.ready[Group{Service: "s", Zone: "a"}] = 40
	leader.run(platform, 10*time.Second)
	require.Empty(t, platform.changes)
	require.Empty(t, leader.agreed.Counts)
}

// While the list of replicas fills gradually, the leader releases no replicas that the list does not show yet.
func TestAListThatFillsIsNotTakenForAll(t *testing.T) {
	scaling := testScaling()
	scaling.BootTime = 100 * time.Millisecond // other replicas serve before the list has filled
	platform := newPlatform(scaling, 1)
	leader := newLeader(scaling, &Desired{})
	for count := 1; count <= 40; count++ {
		for _, zone := range testZones {
			group := Group{Service: "s", Zone: zone}
			platform.ready[group], platform.desired[group] = count, count
		}
		leader.run(platform, 500*time.Millisecond)
		onDemand, _ := platform.counts()
		require.Equal(t, 3*count, onDemand)
	}
	leader.run(platform, 30*time.Second)
	require.Equal(t, 120, leader.agreed.Base)
}

func TestLostSpotReplicasAreReplaced(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	leader := newLeader(testScaling(), &Desired{})
	leader.work = 60
	leader.run(platform, 30*time.Second)
	onDemand, spots := platform.counts()
	require.Zero(t, onDemand)
	platform.reclaim("b", 12*time.Second)
	leader.run(platform, 10*time.Second)
	onDemand, remainingSpots := platform.counts()
	require.Equal(t, spots-60, remainingSpots)
	require.GreaterOrEqual(t, float64(onDemand+remainingSpots-60)*maxUtilisation, leader.work, "enough replicas remain after a further loss")
	leader.run(platform, 40*time.Second)
	onDemand, restoredSpots := platform.counts()
	require.Zero(t, onDemand, "on-demand replicas are released when the spot ones are back")
	require.Equal(t, spots, restoredSpots)
}

// orderFaults are the possible faults of calls to the platform, by name.
var orderFaults = map[string]func(platform *platform, random *rand.Rand){
	"none": func(*platform, *rand.Rand) {},
	"answers are lost": func(platform *platform, random *rand.Rand) {
		platform.loseAnswer = func() bool { return random.IntN(2) == 0 }
	},
	"calls are carried out late and out of order": func(platform *platform, random *rand.Rand) {
		platform.delay = func() time.Duration {
			return time.Duration(random.IntN(2)*random.IntN(8)) * time.Second
		}
	},
	"no spot replicas are available": func(platform *platform, _ *rand.Rand) { platform.shortageUntil = time.Minute },
}

// Over random prices, work, losses and late or lost calls, a plan never orders below the minimum, keeps what the work
// needs, does not flap and settles.
func TestPlansAreSafeAndComeToRest(t *testing.T) {
	for name, fault := range orderFaults {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 7))
			scaling := testScaling()
			scaling.SpotPrice = []float64{0, 0.1, 0.5, 1.2}[random.IntN(4)]
			scaling.OnDemandShare = []float64{0, 0.5, 1}[random.IntN(3)]
			for _, zone := range testZones {
				scaling.ZonePrices[zone] = 0.5 + random.Float64()
			}
			platform := newPlatform(scaling, 10+random.IntN(30))
			fault(platform, random)
			leader := newLeader(scaling, &Desired{})
			leader.work = float64(5 + random.IntN(30))
			leader.run(platform, 20*time.Second)
			for range 3 {
				if random.IntN(2) == 0 {
					platform.reclaim(testZones[random.IntN(3)], time.Duration(random.IntN(15))*time.Second)
				}
				if random.IntN(3) == 0 {
					leader = newLeader(scaling, leader.agreed) // a new leader
					leader.work = 20
				}
				leader.run(platform, 20*time.Second)
			}
			platform.shortageUntil = 0
			platform.loseAnswer, platform.delay = func() bool { return false }, func() time.Duration { return 0 }
			leader.run(platform, 60*time.Second)
			changes := 0
			for _, count := range platform.changes {
				changes += count
			}
			leader.run(platform, 60*time.Second)
			onDemand, spots := platform.counts()
			require.GreaterOrEqual(t, onDemand+spots, leader.agreed.Base, "%s, seed %d", name, seed)
			require.GreaterOrEqual(t, float64(onDemand), scaling.OnDemandShare*float64(leader.agreed.Base), "%s, seed %d", name, seed)
			for _, zone := range testZones {
				group := Group{Service: "s", Zone: zone}
				spot := Group{Service: "s", Zone: zone, Spot: true}
				require.GreaterOrEqual(t, platform.ready[group]+platform.ready[spot], scaling.Min, "%s, seed %d", name, seed)
				require.LessOrEqual(t, platform.ready[group]+platform.ready[spot], scaling.Max, "%s, seed %d", name, seed)
			}
			laterChanges := 0
			for _, count := range platform.changes {
				laterChanges += count
			}
			require.Equal(t, changes, laterChanges, "%s, seed %d: the plan settles", name, seed)
			require.Less(t, changes, 120, "%s, seed %d: the plan flaps", name, seed)
		}
	}
}

// A new leader issues no orders while the list matches what was agreed.
func TestNewLeaderRepeatsNoOrders(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	previous := newLeader(testScaling(), &Desired{})
	previous.work = 30
	previous.run(platform, 40*time.Second)
	next := newLeader(testScaling(), previous.agreed)
	next.work = 30
	before := *previous.agreed
	next.step(platform)
	require.Empty(t, next.orders.issued)
	require.True(t, before.Equal(*next.agreed))
}
