package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// PeerPort is the port at which controllers take calls of relays, and relays each other's datagrams.
const PeerPort = portPeers

// NewOutgoing is what a process of a soak goes by that can be cut off from others.
func NewOutgoing() zonedelay.Outgoing {
	return zonedelay.Outgoing{Gate: zonedelay.NewGate(netip.MustParsePrefix("127.0.0.0/8")), Self: netip.MustParseAddr("127.255.255.254")}
}

// groupPrefix is the addresses of a group of processes.
func groupPrefix(group int) netip.Prefix {
	const bits = 24
	return netip.PrefixFrom(netip.MustParseAddr(address(group, 0)), bits).Masked()
}

// cutRelays cuts relays off from controllers, from other relays, or from both. It draws from a source of its own, so
// that other faults do not depend on it.
func (f *faults) cutRelays(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 5000))
	controllers, relays := groupPrefix(groupControllers), groupPrefix(groupRelays)
	for number := 1; ctx.Err() == nil; number++ {
		sleep(ctx, time.Duration(random.Int64N(int64(longestCutGap))))
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		length := time.Duration(random.Int64N(int64(longestCut)))
		groups := [][]netip.Prefix{{controllers}, {relays}, {controllers, relays}}[random.IntN(3)]
		if f.isOther(relay.Name) {
			continue // it cannot be told of cuts
		}
		f.inject(history.Cut, relay.Name, false, func() {
			heal, err := relay.CutOff(number, groups)
			if err != nil {
				return // it has ended meanwhile
			}
			time.Sleep(length)
			_ = heal() // one that has ended is cut off from nobody
		})
	}
}
