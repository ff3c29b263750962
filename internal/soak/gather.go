package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// gatheredShare is the share of new connections that go to the relay at which they gather.
	gatheredShare = 0.9
	// usualReconnectShare is the share of requests after which a client opens a new connection, gatheredReconnectShare the same
	// while connections gather.
	usualReconnectShare    = 0.05
	gatheredReconnectShare = 0.5
	// gatherLength is how long connections gather at one relay, longestGatherGap the longest time until they gather again.
	gatherLength     = 7 * time.Second
	longestGatherGap = 5 * time.Second
)

// reconnectShare returns the share of requests after which a client opens a new connection.
func (b *loadBalancer) reconnectShare() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.gatheredAt != nil {
		return gatheredReconnectShare
	}
	return usualReconnectShare
}

// gatherAt makes most new connections go to a relay; nil for none.
func (b *loadBalancer) gatherAt(relay *relayProcess) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.gatheredAt = relay
}

// gatherConnections makes most new connections go to one relay after the other, until the context ends. Other faults may strike
// these relays meanwhile.
func (f *faults) gatherConnections(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 12000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestGatherGap))))
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		connections := "connections at " + relay.Name // not the relay, which has no fault
		f.inject(history.Gather, connections, false, func() {
			f.loadBalancer.gatherAt(relay)
			sleep(ctx, gatherLength)
			f.loadBalancer.gatherAt(nil)
		})
		sleep(ctx, gatherLength)
	}
}
