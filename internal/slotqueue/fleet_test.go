package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	relayCount   = 71
	backEndCount = 3
	slotCount    = 6
	// capacity is how many requests the service serves in a second, in requests that hold a slot for meanServiceTime.
	capacity = float64(backEndCount*slotCount) / 0.05
	runTime  = 20 * time.Second
)

// newClients returns clients of different tenants that together send so many requests in a second.
func newClients(count int, perSecond float64, target, deadline time.Duration) []client {
	var clients []client
	for i := range count {
		clients = append(clients, client{tenant: uint64(i + 1), perSecond: perSecond / float64(count), target: target, deadline: deadline})
	}
	return clients
}

func TestManyRelaysBeforeAServiceWithFewSlots(t *testing.T) {
	clients := newClients(78, 0.9*capacity, 100*time.Millisecond, 400*time.Millisecond)
	for seed := range uint64(3) {
		together := newFleet(seed, throughQueue, relayCount, backEndCount, slotCount)
		separate := newFleet(seed, alone, relayCount, backEndCount, slotCount)
		a, b := together.run(runTime, clients), separate.run(runTime, clients)
		t.Logf("queue %.3f turned %d refused %.3f alone %.3f turned %d", fraction(a, any1, outcome.isInTime), together.turnedAway, fraction(a, any1, func(o outcome) bool { return !o.isServed }), fraction(b, any1, outcome.isInTime), separate.turnedAway)
	}
}

func TestLargeTenantBesideSmallOnes(t *testing.T) {
	clients := newClients(20, 0.4*capacity, 150*time.Millisecond, 600*time.Millisecond)
	clients = append(clients, client{tenant: 1000, perSecond: 2 * capacity, target: 150 * time.Millisecond, deadline: 600 * time.Millisecond})
	isSmall := func(o outcome) bool { return o.tenant != 1000 }
	isLarge := func(o outcome) bool { return o.tenant == 1000 }
	for _, s := range []strategy{throughQueue, firstComeFirstServed, alone} {
		f := newFleet(1, s, relayCount, backEndCount, slotCount)
		a := f.run(runTime, clients)
		t.Logf("%d small %.3f large %.3f vain %.4f", s, fraction(a, isSmall, outcome.isInTime), fraction(a, isLarge, outcome.isInTime), fraction(a, func(o outcome) bool { return o.isServed }, outcome.ranInVain))
	}
	_ = require.New
}

func TestVain(t *testing.T) {
	clients := newClients(20, 1.5*capacity, 150*time.Millisecond, 300*time.Millisecond)
	for _, s := range []strategy{throughQueue, firstComeFirstServed, alone} {
		f := newFleet(1, s, relayCount, backEndCount, slotCount)
		a := f.run(runTime, clients)
		reasons := map[Reason]int{}
		for _, o := range a {
			if !o.isServed {
				reasons[o.refusal]++
			}
		}
		t.Logf("%d intime %.3f bydeadline %.3f vain %.4f n %d %v", s, fraction(a, any1, outcome.isInTime), fraction(a, any1, func(o outcome) bool { return o.isServed && !o.ranInVain() }), fraction(a, func(o outcome) bool { return o.isServed }, outcome.ranInVain), len(a), reasons)
	}
}
