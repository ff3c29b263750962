package control

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// testUsage is how usage is counted in worlds of controllers.
var testUsage = usage.Config{Window: 5 * time.Second, Due: 10 * time.Second}

// counting configures a controller that knows the seeds only and counts usage.
func counting(config *Config) {
	seeded(config)
	config.Usage = testUsage
	config.DutyLifetime = testOrderLife
	config.DutyInterval = 40 * time.Millisecond
}

// usagePlatform takes calls of usage as the platform does.
type usagePlatform struct {
	world *world
	// looks tells that it looks at fencing tokens.
	looks bool
	// lose decides whether the answer to a call is lost, held for how long a call is under way beside
	// the link's delay, late for how long it is carried out after it has arrived.
	lose func(call DeliverUsage) bool
	held time.Duration
	late func(call DeliverUsage) time.Duration
	// refuse has it answer that it is busy.
	refuse bool

	highest  uint64
	accepted map[usage.Window]usage.Counts
	arrivals []arrivedCall
}

// arrivedCall is a call that reached the platform.
type arrivedCall struct {
	at   time.Duration
	call DeliverUsage
}

// call takes a call that the runtime sends, if it is in time.
func (p *usagePlatform) call(controller *testController, life int, call DeliverUsage) {
	answer := func(outcome duty.Outcome) {
		p.world.deliver("platform", controller, life, UsageDelivered{Call: call, Outcome: outcome})
	}
	if controller.cut {
		answer(duty.Lost)
		return
	}
	p.world.after(p.held+linkDelay, func() {
		if p.world.now > call.NotAfter {
			answer(duty.Refused)
			return
		}
		p.arrivals = append(p.arrivals, arrivedCall{at: p.world.now, call: call})
		switch {
		case p.refuse:
			answer(duty.Refused)
		case p.late != nil && p.late(call) > 0:
			p.world.after(p.late(call), func() { p.carryOut(call) })
			p.world.after(time.Second, func() { answer(duty.Lost) })
		default:
			outcome := p.carryOut(call)
			if p.lose != nil && p.lose(call) {
				outcome = duty.Lost
			}
			answer(outcome)
		}
	})
}

// carryOut takes a call as it stands now. No window may ever be accepted with two contents.
func (p *usagePlatform) carryOut(call DeliverUsage) duty.Outcome {
	if p.looks && call.Fence < p.highest {
		return duty.Superseded
	}
	p.highest = max(p.highest, call.Fence)
	if known, is := p.accepted[call.Window]; is {
		require.Equal(p.world.t, known, call.Counts, "window %d has two contents", call.Window)
		return duty.Accepted
	}
	counts := usage.Counts{}
	for tenant, count := range call.Counts {
		counts[tenant] = count
	}
	p.accepted[call.Window] = counts
	return duty.Accepted
}

// testRelays report usage, each one report after another until it is taken.
type testRelays struct {
	world *world
	// truth is what began, by window and tenant.
	truth  map[usage.Window]usage.Counts
	relays []*testRelayUsage
	// quiet stops new requests.
	quiet bool
}

// testRelayUsage is one relay's start.
type testRelayUsage struct {
	relay    uint64
	sequence uint64
	counts   map[usage.Window]usage.Counts
	underWay *v1.UsageReport
	call     CallID
	calledAt time.Duration
	dead     bool
}

// trueWindow is the window of true time now.
func (w *world) trueWindow() usage.Window {
	return usage.WindowAt(testWallOrigin+w.now.Milliseconds(), testUsage.Window)
}

// startUsage adds a platform and relays whose tenants are busy.
func (w *world) startUsage(relays int) (*usagePlatform, *testRelays) {
	w.usage = &usagePlatform{world: w, accepted: map[usage.Window]usage.Counts{}, looks: true}
	all := &testRelays{world: w, truth: map[usage.Window]usage.Counts{}}
	for index := range relays {
		all.relays = append(all.relays, &testRelayUsage{relay: uint64(index + 1), counts: map[usage.Window]usage.Counts{}})
	}
	all.step()
	return w.usage, all
}

// step lets one request of a relay begin and every relay tell, again and again.
func (r *testRelays) step() {
	w := r.world
	for index, relay := range r.relays {
		if relay.dead {
			continue
		}
		if !r.quiet && w.random.IntN(4) == 0 {
			r.begin(relay, fmt.Sprint("tenant-", (index+w.random.IntN(3))%7))
		}
		r.tell(relay)
	}
	w.after(50*time.Millisecond, r.step)
}

func (r *testRelays) begin(relay *testRelayUsage, tenant string) {
	window := r.world.trueWindow()
	for _, counts := range []map[usage.Window]usage.Counts{r.truth, relay.counts} {
		if counts[window] == nil {
			counts[window] = usage.Counts{}
		}
		counts[window][tenant]++
	}
}

// tell sends the report under way, or the next one.
func (r *testRelays) tell(relay *testRelayUsage) {
	w := r.world
	if relay.underWay != nil {
		answer, answered := w.answers[relay.call]
		lost := w.random.IntN(5) == 0
		if answered && answer.Err == nil && !lost {
			relay.underWay = nil
		}
		if answered && lost {
			relay.calledAt = 0 // sent again at once
		}
	}
	if relay.underWay == nil && len(relay.counts) > 0 {
		relay.sequence++
		relay.underWay = &v1.UsageReport{Relay: relay.relay, Sequence: relay.sequence}
		for window, counts := range relay.counts {
			for tenant, count := range counts {
				relay.underWay.Counts = append(relay.underWay.Counts, &v1.UsageCount{Window: int64(window), Tenant: tenant, Count: count})
			}
		}
		relay.counts = map[usage.Window]usage.Counts{}
		relay.call = 0
	}
	leader := w.leader()
	if relay.underWay == nil || leader == nil || relay.call != 0 && w.now-relay.calledAt < 500*time.Millisecond {
		return
	}
	relay.calledAt = w.now
	relay.call = w.send(leader, func(id CallID) Input { return UsageReceived{Call: id, Report: relay.underWay} })
}

// requireTold demands that every window from first to last was told as it was.
func (r *testRelays) requireTold(platform *usagePlatform, first, last usage.Window) {
	r.world.t.Helper()
	for window := first; window <= last; window++ {
		counts, told := platform.accepted[window]
		require.True(r.world.t, told, "window %d was not told", window)
		truth := r.truth[window]
		if truth == nil {
			truth = usage.Counts{}
		}
		require.Equal(r.world.t, truth, counts, "window %d", window)
	}
}

// requireHoldersApart demands that calls of two holders never overlap: tokens rise, no token has two
// holders, and a turn lies between the calls of one and of the next.
func (p *usagePlatform) requireHoldersApart() {
	p.world.t.Helper()
	for index, next := range p.arrivals[1:] {
		previous := p.arrivals[index]
		require.GreaterOrEqual(p.world.t, next.call.Fence, previous.call.Fence)
		if next.call.Holder != previous.call.Holder {
			require.Greater(p.world.t, next.call.Fence, previous.call.Fence)
			require.GreaterOrEqual(p.world.t, next.at-previous.at, testTurn)
		}
	}
}
