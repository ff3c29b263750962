package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// longestOwnerGap is the longest time between two faults at the owner of the shared slots or its deputy.
	longestOwnerGap = 4 * time.Second
	// firstOwnerCut is the number of the first cut at an owner; lower numbers are those of cutRelays.
	firstOwnerCut = 1 << 20
)

// injectOwnerFaults kills, freezes or cuts off the relay that owns the shared slots, or its deputy, until the context ends.
// It draws from its own random source, so that it does not change which other faults are drawn.
func (f *faults) injectOwnerFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 8000))
	owners := f.site.slotOwners()
	for number := firstOwnerCut; ctx.Err() == nil; number++ {
		sleep(ctx, time.Duration(random.Int64N(int64(longestOwnerGap))))
		relay := owners[0]
		if random.IntN(3) == 0 {
			relay = owners[1]
		}
		away, length := time.Duration(random.Int64N(int64(longestAway))), time.Duration(random.Int64N(int64(longestFreeze)))
		switch random.IntN(3) {
		case 0:
			f.kill(relay, away)
		case 1:
			f.freeze(relay, length)
		default:
			f.cut(relay, number, length, f.everySecondRelay(relay))
		}
	}
}

// everySecondRelay returns the addresses of about half of the relays, without the given one.
func (f *faults) everySecondRelay(except *relayProcess) []netip.Prefix {
	var half []netip.Prefix
	for number, relay := range f.site.relays {
		if ip := netip.MustParseAddrPort(relay.peers).Addr(); number%2 == 0 && relay != except {
			half = append(half, netip.PrefixFrom(ip, ip.BitLen()))
		}
	}
	return half
}
