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

// testZones are those of testScaling.
var testZones = []string{"a", "b", "c"}

// platform is a platform whose list is followed.
type platform struct {
	scaling Scaling
	now     time.Duration
	// desired is what it was asked for, booting are replicas that serve from a time on.
	desired map[Group]int
	ready   map[Group]int
	booting map[Group][]time.Duration
	// dry tells that there are no cheap replicas to be had until a time.
	dry time.Duration
	// lost decides whether the answer to a call is lost, late for how long it is put off.
	lost func() bool
	late func() time.Duration
	// delayed are calls that are carried out later.
	delayed []delayedOrder
	// low and high are the least and the most of all replicas seen serving.
	changes map[Group]int
}

type delayedOrder struct {
	at    time.Duration
	order Order
}

func newPlatform(scaling Scaling, onDemand int) *platform {
	made := &platform{
		scaling: scaling, desired: map[Group]int{}, ready: map[Group]int{}, booting: map[Group][]time.Duration{}, changes: map[Group]int{},
		lost: func() bool { return false }, late: func() time.Duration { return 0 },
	}
	for _, zone := range testZones {
		group := Group{Service: "s", Zone: zone}
		made.desired[group], made.ready[group] = onDemand, onDemand
	}
	return made
}

// list is what the platform shows.
func (p *platform) list() map[Group]ListedCounts {
	listed := map[Group]ListedCounts{}
	for group, count := range p.ready {
		if count > 0 {
			listed[group] = ListedCounts{Ready: count}
		}
	}
	return listed
}

// order takes a call.
func (p *platform) order(order Order) duty.Outcome {
	if order.Group.Spot && order.Desired > p.ready[order.Group]+len(p.booting[order.Group]) && p.now < p.dry {
		return duty.Declined
	}
	if delay := p.late(); delay > 0 {
		p.delayed = append(p.delayed, delayedOrder{at: p.now + delay, order: order})
		return duty.Lost
	}
	p.carryOut(order)
	if p.lost() {
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
		cut := min(surplus, len(p.booting[group]))
		p.booting[group] = p.booting[group][:len(p.booting[group])-cut]
		p.ready[group] -= surplus - cut
	}
}

// reclaim takes all cheap replicas of a zone away; none are to be had for a while.
func (p *platform) reclaim(zone string, dry time.Duration) {
	group := Group{Service: "s", Zone: zone, Spot: true}
	p.ready[group], p.booting[group] = 0, nil
	p.dry = p.now + dry
}

// pass lets time pass at the platform.
func (p *platform) pass(step time.Duration) {
	p.now += step
	for group, booting := range p.booting {
		for len(booting) > 0 && booting[0] <= p.now {
			p.ready[group]++
			booting = booting[1:]
		}
		p.booting[group] = booting
	}
	kept := p.delayed[:0]
	for _, delayed := range p.delayed {
		if delayed.at <= p.now {
			p.carryOut(delayed.order)
			continue
		}
		kept = append(kept, delayed)
	}
	p.delayed = kept
}

func (p *platform) all() (onDemand, spots int) {
	for group, count := range p.ready {
		if group.Spot {
			spots += count
		} else {
			onDemand += count
		}
	}
	return onDemand, spots
}

// leader follows a plan and its orders.
type leader struct {
	plan   *Plan
	orders *Orders
	agreed *Desired
	work   float64
}

func newLeader(scaling Scaling, agreed *Desired) *leader {
	return &leader{plan: New(scaling), orders: NewOrders(), agreed: agreed}
}

// step plans and orders once.
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
		platform.pass(250 * time.Millisecond)
		l.step(platform)
	}
}

func TestCheapReplicasTakeThePlaceOfThoseThatStay(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	leader := newLeader(testScaling(), &Desired{})
	leader.work = 20
	for platform.now < 30*time.Second {
		leader.run(platform, 250*time.Millisecond)
		onDemand, spots := platform.all()
		require.GreaterOrEqual(t, onDemand+spots, 120, "none is given up before another serves")
	}
	onDemand, spots := platform.all()
	require.Zero(t, onDemand)
	require.Equal(t, 180, spots, "a zone's part can go and the operator's number is left")
	for _, zone := range testZones {
		require.Equal(t, 60, platform.ready[Group{Service: "s", Zone: zone, Spot: true}])
	}
}

// Half of the replicas stay, evenly over the zones, and cheap ones take the place of the others.
func TestAPartAlwaysStays(t *testing.T) {
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
	onDemand, spots := platform.all()
	require.Zero(t, spots)
	require.GreaterOrEqual(t, onDemand, 60)
}

// Where all replicas stay nothing is ordered, whatever becomes of them.
func TestWhatIsThereIsKeptWhereNoRiskIsTaken(t *testing.T) {
	scaling := testScaling()
	scaling.OnDemandShare = 1
	platform := newPlatform(scaling, 40)
	leader := newLeader(scaling, &Desired{})
	leader.work = 110
	leader.run(platform, 10*time.Second)
	platform.ready[Group{Service: "s", Zone: "a"}] = 10 // some have crashed and come back
	leader.run(platform, 10*time.Second)
	platform.ready[Group{Service: "s", Zone: "a"}] = 40
	leader.run(platform, 10*time.Second)
	require.Empty(t, platform.changes)
	require.Empty(t, leader.agreed.Counts)
}

// A list that fills by and by never makes a leader give up what it does not show yet.
func TestAListThatFillsIsNotTakenForAll(t *testing.T) {
	scaling := testScaling()
	scaling.BootTime = 100 * time.Millisecond // others serve before the list has filled
	platform := newPlatform(scaling, 1)
	leader := newLeader(scaling, &Desired{})
	for count := 1; count <= 40; count++ {
		for _, zone := range testZones {
			group := Group{Service: "s", Zone: zone}
			platform.ready[group], platform.desired[group] = count, count
		}
		leader.run(platform, 500*time.Millisecond)
		onDemand, _ := platform.all()
		require.Equal(t, 3*count, onDemand)
	}
	leader.run(platform, 30*time.Second)
	require.Equal(t, 120, leader.agreed.Base)
}

func TestALossIsMadeGood(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	leader := newLeader(testScaling(), &Desired{})
	leader.work = 60
	leader.run(platform, 30*time.Second)
	onDemand, spots := platform.all()
	require.Zero(t, onDemand)
	platform.reclaim("b", 12*time.Second)
	leader.run(platform, 10*time.Second)
	onDemand, left := platform.all()
	require.Equal(t, spots-60, left)
	require.GreaterOrEqual(t, float64(onDemand+left-60)*worstUse, leader.work, "a further loss leaves enough")
	leader.run(platform, 40*time.Second)
	onDemand, again := platform.all()
	require.Zero(t, onDemand, "those that stay are given up when the cheap ones are back")
	require.Equal(t, spots, again)
}

// faultsOfOrders are what may happen to calls.
var faultsOfOrders = map[string]func(platform *platform, random *rand.Rand){
	"none": func(*platform, *rand.Rand) {},
	"answers are lost": func(platform *platform, random *rand.Rand) {
		platform.lost = func() bool { return random.IntN(2) == 0 }
	},
	"calls are carried out late, after newer ones": func(platform *platform, random *rand.Rand) {
		platform.late = func() time.Duration {
			return time.Duration(random.IntN(2)*random.IntN(8)) * time.Second
		}
	},
	"none of the cheap kind are to be had": func(platform *platform, _ *rand.Rand) { platform.dry = time.Minute },
}

// Over random prices, work, losses and late or lost calls it never orders below the least, keeps
// what the work needs, does not flap, and comes to rest.
func TestPlansAreSafeAndComeToRest(t *testing.T) {
	for name, fault := range faultsOfOrders {
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
					leader = newLeader(scaling, leader.agreed) // another one leads
					leader.work = 20
				}
				leader.run(platform, 20*time.Second)
			}
			platform.dry = 0
			platform.lost, platform.late = func() bool { return false }, func() time.Duration { return 0 }
			leader.run(platform, 60*time.Second)
			changes := 0
			for _, count := range platform.changes {
				changes += count
			}
			leader.run(platform, 60*time.Second)
			onDemand, spots := platform.all()
			require.GreaterOrEqual(t, onDemand+spots, leader.agreed.Base, "%s, seed %d", name, seed)
			require.GreaterOrEqual(t, float64(onDemand), scaling.OnDemandShare*float64(leader.agreed.Base), "%s, seed %d", name, seed)
			for _, zone := range testZones {
				group := Group{Service: "s", Zone: zone}
				cheap := Group{Service: "s", Zone: zone, Spot: true}
				require.GreaterOrEqual(t, platform.ready[group]+platform.ready[cheap], scaling.Min, "%s, seed %d", name, seed)
				require.LessOrEqual(t, platform.ready[group]+platform.ready[cheap], scaling.Max, "%s, seed %d", name, seed)
			}
			again := 0
			for _, count := range platform.changes {
				again += count
			}
			require.Equal(t, changes, again, "%s, seed %d: it comes to rest", name, seed)
			require.Less(t, changes, 120, "%s, seed %d: it flaps", name, seed)
		}
	}
}

// A new leader orders nothing of its own accord: what it finds is what was agreed on.
func TestANewLeaderOrdersNothingByItself(t *testing.T) {
	platform := newPlatform(testScaling(), 40)
	former := newLeader(testScaling(), &Desired{})
	former.work = 30
	former.run(platform, 40*time.Second)
	next := newLeader(testScaling(), former.agreed)
	next.work = 30
	before := *former.agreed
	next.step(platform)
	require.Empty(t, next.orders.made)
	require.True(t, before.Equal(*next.agreed))
}
