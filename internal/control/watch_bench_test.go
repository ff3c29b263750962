package control

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// BenchmarkWatchesOfManyRelays measures the leader's work on one watch that waits until it is due and is sent again,
// where each relay watches once a second.
func BenchmarkWatchesOfManyRelays(b *testing.B) {
	for _, relays := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(relays, " relays"), func(b *testing.B) {
			w := newTestCluster(&testing.T{}, 1, func(config *Config) { withSeeds(config); config.FormationSize = 1; config.Seeds = config.Seeds[:1] })
			newSite(w, 4, 2)
			leader := w.waitLeader()
			w.run(2 * time.Second)
			now, version := w.now, leader.core.listing.version
			interval := time.Second / time.Duration(relays)
			for number := range b.N + relays {
				if number == relays {
					b.ResetTimer()
				}
				now += interval
				leader.core.Step(now, WatchReceived{Call: CallID(1_000_000 + number), Request: &v1.WatchRequest{
					Node: &v1.NodeIdentity{Name: fmt.Sprint("relay-", number%relays)}, WaitMs: 1000, ListingVersion: version,
				}})
			}
		})
	}
}
