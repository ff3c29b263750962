package relay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// silentNetwork is the network between the relays of the tests in this file.
var silentNetwork silence.Network

// Guards against a relay without a path to back ends whose requests are not served for long after a silence of the network
// between it and another relay that has one.
func TestRelaysForwardToEachOtherSoonAfterASilence(t *testing.T) {
	t.Parallel()
	const forwardsAfter = time.Second
	for index, length := range []time.Duration{40 * time.Second, 20 * time.Second, 10 * time.Second, 4 * time.Second, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			var backEnds []*scriptedBackEnd
			for number := range 4 {
				backEnds = append(backEnds, startBackEnd(t, fmt.Sprint("b", number), serving.StageWhole, answering(200, "ok")))
			}
			shortRoute := route(func(route *serving.Route) { route.Kind, route.Timeout = serving.KindSafe, 300*time.Millisecond })
			relays, paths := newRelayGroup(t, 2, shortRoute, nil, backEnds...)
			ip := fmt.Sprintf("127.0.%d.1", 130+index)
			listener, err := closing.Listen("tcp", net.JoinHostPort(ip, "0"))
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() { _ = relays[1].acceptForwarded(t.Context(), listener) }()
			peer := listener.Addr().String()
			relays[0].forwarder.setPeers([]string{peer})
			toBackEnds := relays[0].exchanger.dial
			relays[0].exchanger.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == peer {
					return dialing.WithDeadPeerDetection()(ctx, network, address)
				}
				return toBackEnds(ctx, network, address)
			}
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			isServed := func() bool { return relays[0].client(t).do("GET", "/path/", "").status == 200 }
			require.Eventually(t, isServed, forwardsAfter, 10*time.Millisecond)
			unblock, err := silentNetwork.Block([]netip.Addr{netip.MustParseAddr(ip)}, []netip.Addr{netip.MustParseAddr("127.0.0.1")})
			require.NoError(t, err)
			for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
				require.False(t, isServed(), "the relays hear each other")
			}
			require.NoError(t, unblock())
			ended := time.Now()
			for !isServed() {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("a request is forwarded after %v", time.Since(ended))
			require.LessOrEqual(t, time.Since(ended), forwardsAfter)
		})
	}
}
