package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// hotRelayShare is the share of new connections that go to the hot relay.
	hotRelayShare = 0.9
	// usualReconnectShare is the share of requests after which a client opens a new connection, hotReconnectShare the same
	// while most new connections go to one relay.
	usualReconnectShare = 0.05
	hotReconnectShare   = 0.5
	// hotRelayDuration is how long most new connections go to one relay, longestHotRelayGap the longest time until the next one.
	hotRelayDuration   = 7 * time.Second
	longestHotRelayGap = 5 * time.Second
)

// reconnectShare returns the share of requests after which a client opens a new connection.
func (b *loadBalancer) reconnectShare() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.hotRelay != nil {
		return hotReconnectShare
	}
	return usualReconnectShare
}

// setHotRelay makes most new connections go to a relay; nil for none.
func (b *loadBalancer) setHotRelay(relay *relayProcess) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.hotRelay = relay
}

// concentrateConnections makes most new connections go to one relay after the other, until the context ends. Other faults may strike
// these relays meanwhile.
func (f *faults) concentrateConnections(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 12000))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestHotRelayGap))))
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		connections := "connections at " + relay.Name // not the relay, which has no fault
		f.inject(history.HotRelay, connections, false, func() {
			f.loadBalancer.setHotRelay(relay)
			sleep(ctx, hotRelayDuration)
			f.loadBalancer.setHotRelay(nil)
		})
		sleep(ctx, hotRelayDuration)
	}
}
