package control

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// testUsage configures how usage is counted in test clusters.
var testUsage = usage.Config{Window: 5 * time.Second, Due: 10 * time.Second}

// withUsage configures a controller that knows only the seeds and counts usage.
func withUsage(config *Config) {
	withSeeds(config)
	config.Usage = testUsage
	config.DutyLifetime = testOrderLifetime
	config.DutyInterval = 40 * time.Millisecond
}

// usagePlatform is the platform that receives usage calls.
type usagePlatform struct {
	cluster *testCluster
	// checksFences means that the platform checks fencing tokens.
	checksFences bool
	// lose decides whether the answer to a call is lost. transitDelay is the delay of calls in addition to
	// the link's delay, and processingDelay the time from a call's arrival until it is carried out.
	lose            func(call DeliverUsage) bool
	transitDelay    time.Duration
	processingDelay func(call DeliverUsage) time.Duration
	// refuse makes the platform answer that it is busy.
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

// call delivers a call to the platform if it arrives in time.
func (p *usagePlatform) call(controller *testController, incarnation int, call DeliverUsage) {
	answer := func(outcome duty.Outcome) {
		p.cluster.deliver("platform", controller, incarnation, UsageDelivered{Call: call, Outcome: outcome})
	}
	if controller.cut {
		answer(duty.Lost)
		return
	}
	p.cluster.after(p.transitDelay+linkDelay, func() {
		if p.cluster.now > call.NotAfter {
			answer(duty.Refused)
			return
		}
		p.arrivals = append(p.arrivals, arrivedCall{at: p.cluster.now, call: call})
		switch {
		case p.refuse:
			answer(duty.Refused)
		case p.processingDelay != nil && p.processingDelay(call) > 0:
			p.cluster.after(p.processingDelay(call), func() { p.apply(call) })
			p.cluster.after(time.Second, func() { answer(duty.Lost) })
		default:
			outcome := p.apply(call)
			if p.lose != nil && p.lose(call) {
				outcome = duty.Lost
			}
			answer(outcome)
		}
	})
}

// apply carries out a call. No window may ever be accepted with two different contents.
func (p *usagePlatform) apply(call DeliverUsage) duty.Outcome {
	if p.checksFences && call.Fence < p.highest {
		return duty.Superseded
	}
	p.highest = max(p.highest, call.Fence)
	if known, is := p.accepted[call.Window]; is {
		require.Equal(p.cluster.t, known, call.Counts, "window %d has two contents", call.Window)
		return duty.Accepted
	}
	counts := usage.Counts{}
	for tenant, count := range call.Counts {
		counts[tenant] = count
	}
	p.accepted[call.Window] = counts
	return duty.Accepted
}

// testRelays report usage. Each relay repeats a report until it is accepted, and then sends the next one.
type testRelays struct {
	cluster *testCluster
	// expected counts the requests that began, by window and tenant.
	expected map[usage.Window]usage.Counts
	relays   []*testRelayUsage
	// stopped means that no new requests begin.
	stopped bool
}

// testRelayUsage is one incarnation of a relay.
type testRelayUsage struct {
	relay    uint64
	sequence uint64
	counts   map[usage.Window]usage.Counts
	pending  *v1.UsageReport
	call     CallID
	calledAt time.Duration
	crashed  bool
}

// trueWindow returns the usage window of the true time.
func (w *testCluster) trueWindow() usage.Window {
	return usage.WindowAt(testWallOrigin+w.now.Milliseconds(), testUsage.Window)
}

// startUsage adds a platform and relays with requests of several tenants.
func (w *testCluster) startUsage(relays int) (*usagePlatform, *testRelays) {
	w.usage = &usagePlatform{cluster: w, accepted: map[usage.Window]usage.Counts{}, checksFences: true}
	all := &testRelays{cluster: w, expected: map[usage.Window]usage.Counts{}}
	for index := range relays {
		all.relays = append(all.relays, &testRelayUsage{relay: uint64(index + 1), counts: map[usage.Window]usage.Counts{}})
	}
	all.step()
	return w.usage, all
}

// step begins requests at random and makes every relay report, every 50 ms.
func (r *testRelays) step() {
	w := r.cluster
	for index, relay := range r.relays {
		if relay.crashed {
			continue
		}
		if !r.stopped && w.random.IntN(4) == 0 {
			r.beginRequest(relay, fmt.Sprint("tenant-", (index+w.random.IntN(3))%7))
		}
		r.report(relay)
	}
	w.after(50*time.Millisecond, r.step)
}

func (r *testRelays) beginRequest(relay *testRelayUsage, tenant string) {
	window := r.cluster.trueWindow()
	for _, counts := range []map[usage.Window]usage.Counts{r.expected, relay.counts} {
		if counts[window] == nil {
			counts[window] = usage.Counts{}
		}
		counts[window][tenant]++
	}
}

// report sends the pending report, or the next one.
func (r *testRelays) report(relay *testRelayUsage) {
	w := r.cluster
	if relay.pending != nil {
		answer, answered := w.answers[relay.call]
		lost := w.random.IntN(5) == 0
		if answered && answer.Err == nil && !lost {
			relay.pending = nil
		}
		if answered && lost {
			relay.calledAt = 0 // sent again at once
		}
	}
	if relay.pending == nil && len(relay.counts) > 0 {
		relay.sequence++
		relay.pending = &v1.UsageReport{Relay: relay.relay, Sequence: relay.sequence}
		for window, counts := range relay.counts {
			for tenant, count := range counts {
				relay.pending.Counts = append(relay.pending.Counts, &v1.UsageCount{Window: int64(window), Tenant: tenant, Count: count})
			}
		}
		relay.counts = map[usage.Window]usage.Counts{}
		relay.call = 0
	}
	leader := w.leader()
	if relay.pending == nil || leader == nil || relay.call != 0 && w.now-relay.calledAt < 500*time.Millisecond {
		return
	}
	relay.calledAt = w.now
	relay.call = w.send(leader, func(id CallID) Input { return UsageReceived{Call: id, Report: relay.pending} })
}

// requireReported checks that every window from first to last was reported with the expected counts.
func (r *testRelays) requireReported(platform *usagePlatform, first, last usage.Window) {
	r.cluster.t.Helper()
	for window := first; window <= last; window++ {
		counts, reported := platform.accepted[window]
		require.True(r.cluster.t, reported, "window %d was not reported", window)
		expected := r.expected[window]
		if expected == nil {
			expected = usage.Counts{}
		}
		require.Equal(r.cluster.t, expected, counts, "window %d", window)
	}
}

// requireHoldersDoNotOverlap checks the fencing tokens of the calls: they never decrease, no token has two
// holders, and minimumOrderGap lies between the calls of one holder and of the next.
func (p *usagePlatform) requireHoldersDoNotOverlap() {
	p.cluster.t.Helper()
	for index, next := range p.arrivals[1:] {
		previous := p.arrivals[index]
		require.GreaterOrEqual(p.cluster.t, next.call.Fence, previous.call.Fence)
		if next.call.Holder != previous.call.Holder {
			require.Greater(p.cluster.t, next.call.Fence, previous.call.Fence)
			require.GreaterOrEqual(p.cluster.t, next.at-previous.at, minimumOrderGap)
		}
	}
}
