package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// PeerPort is the port on which controllers accept calls from relays and relays accept each other's datagrams.
const PeerPort = portPeers

// BackEndPort is the port on which back ends accept connections, RelayServer and ControllerServer are the names of the servers
// that are relays and their controllers.
const (
	BackEndPort      = portOuter
	RelayServer      = "relay"
	ControllerServer = "site-controller"
)

// NewOutgoing returns the outgoing connections of a process whose traffic to other processes of the run can be cut.
func NewOutgoing() zonedelay.Outgoing {
	return zonedelay.Outgoing{Partitioner: zonedelay.NewPartitioner(netip.MustParsePrefix("127.0.0.0/8")), LocalAddress: netip.MustParseAddr("127.255.255.254")}
}

// groupPrefix returns the address range of a group of processes.
func groupPrefix(group int) netip.Prefix {
	const bits = 24
	return netip.PrefixFrom(netip.MustParseAddr(address(group, 0)), bits).Masked()
}

// cutRelays cuts the network between relays and controllers, other relays, or both, until the context ends. It draws
// from its own random source, so that it does not change which other faults are drawn.
func (f *faults) cutRelays(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 5000))
	controllers, relays := groupPrefix(groupControllers), groupPrefix(groupRelays)
	for number := 1; ctx.Err() == nil; number++ {
		sleep(ctx, time.Duration(random.Int64N(int64(longestCutGap))))
		relay := f.site.relays[random.IntN(len(f.site.relays))]
		length := time.Duration(random.Int64N(int64(longestCut)))
		groups := [][]netip.Prefix{{controllers}, {relays}, {controllers, relays}}[random.IntN(3)]
		f.cut(relay, number, length, groups)
	}
}

// cut cuts a relay off from a group of addresses for a time. The number identifies the cut. Only this program accepts
// commands that cut its network.
func (f *faults) cut(relay *relayProcess, number int, length time.Duration, group []netip.Prefix) {
	if f.site.options.Program != "" || f.isOther(relay.Name) {
		return
	}
	f.inject(history.Cut, relay.Name, false, func() {
		heal, err := relay.CutOff(number, group)
		if err != nil {
			return // the process has exited in the meantime
		}
		time.Sleep(length)
		_ = heal() // an error means that the process has exited, and the cut with it
	})
}
