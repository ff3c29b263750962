package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against keys that leave the first relay, and against serving a tenant that the second does not know.
func TestTenantsAreForwardedByName(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	first := newKeyedRelay(t, route(nil), twoTenants(), backEnds...)
	second := newKeyedRelay(t, route(nil), twoTenants(), backEnds...)
	third := newKeyedRelay(t, route(nil), twoTenants()[:1], backEnds...)
	paths := linkRelays(t, first, second, third)
	first.loseAllPaths(t, paths[0], dialsRefused)
	for range 4 {
		require.Equal(t, 200, first.client(t).do("GET", "/path/", "", "T-Key: key k2").status)
	}
	for _, request := range allRequests(backEnds) {
		require.Equal(t, "two", string(request.head.Peek("T-Tenant")))
		require.Empty(t, request.head.Peek("T-Key"))
	}
	second.stopForwarding()
	require.Equal(t, 503, first.client(t).do("GET", "/path/", "", "T-Key: key k2").status)
	require.Len(t, allRequests(backEnds), 4)
}

// Guards against relays that forward to each other in a circle, or wait, while all are cut off.
func TestRelaysThatAreAllCutOffRefuseAtOnce(t *testing.T) {
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		t.Run(fault.String(), func(t *testing.T) {
			backEnds := startThree(t, answering(200, "ok"))
			relays, paths := newRelayGroup(t, 3, route(nil), nil, backEnds...)
			for index, relay := range relays {
				relay.loseAllPaths(t, paths[index], fault)
			}
			began := time.Now()
			answer := relays[0].client(t).do("POST", "/path/", "x")
			t.Logf("refused after %v", time.Since(began))
			require.Equal(t, 503, answer.status)
			require.NotEmpty(t, answer.head.Peek("Retry-After"))
			require.Empty(t, allRequests(backEnds))
		})
	}
}

// Guards against peers that serve with a configuration that does not allow the request, and against asking too many of them.
func TestPeersThatCannotServeAreAskedInTurn(t *testing.T) {
	for name, prepare := range map[string]func(second *testRelay, path *breakablePath){
		"nothing listens": func(second *testRelay, _ *breakablePath) { _ = second.forwardListener.Close() },
		"older configuration": func(second *testRelay, _ *breakablePath) {
			second.changeConfiguration(func(c *serving.Configuration) { c.Number = 0 })
		},
		"no route": func(second *testRelay, _ *breakablePath) {
			second.changeConfiguration(func(c *serving.Configuration) { c.Routes[0].Prefix = "/other/" })
		},
		"route to another service": func(second *testRelay, _ *breakablePath) {
			second.changeConfiguration(func(c *serving.Configuration) {
				c.Services = append(c.Services, serving.Service{Name: "other"})
				c.Routes[0].Splits = []serving.Split{{Service: "other", Weight: 1}}
			})
		},
		"stopping": func(second *testRelay, _ *breakablePath) {
			second.stopping.Store(true)
		},
		"no configuration": func(second *testRelay, _ *breakablePath) {
			second.view.Store(&view{byService: map[string][]*backEnd{}})
		},
		"no path": func(_ *testRelay, path *breakablePath) { path.set(dialsRefused) },
	} {
		t.Run(name, func(t *testing.T) {
			backEnds := startThree(t, answering(200, "ok"))
			relays, paths := newRelayGroup(t, 3, route(nil), nil, backEnds...)
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			prepare(relays[1], paths[1])
			for _, peers := range [][]*testRelay{relays[1:2], relays[1:]} {
				var addresses []string
				for _, peer := range peers {
					addresses = append(addresses, peer.datagrams.Address)
				}
				relays[0].forwarder.peers = forwarding.NewPeers()
				relays[0].forwarder.peers.Set(addresses)
				began := time.Now()
				answer := relays[0].client(t).do("POST", "/path/", "x")
				t.Logf("%d peers: %d after %v", len(peers), answer.status, time.Since(began))
				if len(peers) == 1 {
					require.Equal(t, 503, answer.status)
					require.NotEmpty(t, answer.head.Peek("Retry-After"))
				} else {
					require.Equal(t, 200, answer.status)
				}
			}
			require.Len(t, allRequests(backEnds), 1)
			require.Zero(t, testutil.ToFloat64(relays[1].metrics.startupWaits), "the second relay has let the request wait")
		})
	}
}

// changeConfiguration replaces the configuration by a changed copy.
func (r *testRelay) changeConfiguration(change func(*serving.Configuration)) {
	current := r.view.Load()
	changed := *current.table.Configuration
	changed.Routes = append([]serving.Route(nil), changed.Routes...)
	change(&changed)
	next := *current
	next.table = serving.NewTable(&changed)
	r.applyRouteServices(next.table)
	r.view.Store(&next)
}

// Guards against asking all relays of a large site for one request.
func TestRequestIsOfferedToFewPeers(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	relays, paths := newRelayGroup(t, maxForwardPeers+3, route(nil), nil, backEnds...)
	for index, relay := range relays {
		relay.loseAllPaths(t, paths[index], dialsRefused)
	}
	require.Equal(t, 503, relays[0].client(t).do("POST", "/path/", "x").status)
	asked := 0
	for address := range paths[0].relays {
		asked += paths[0].attemptsAt(address)
	}
	require.Equal(t, maxForwardPeers, asked)
}

// Guards against relays that no longer forward to any service once the others have refused requests for one that is gone.
func TestServiceThatIsGoneDoesNotStopForwardingToOthers(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	gone := startThree(t, answering(200, "gone"))
	for index, each := range gone {
		each.entry.ID, each.entry.Service = fmt.Sprint("gone-", index), "gone"
	}
	relays, paths := newRelayGroup(t, 3, route(nil), nil, append(backEnds, gone...)...)
	for index, relay := range relays {
		relay.changeConfiguration(func(c *serving.Configuration) {
			c.Services = append(c.Services, serving.Service{Name: "gone"})
			c.Routes = append(c.Routes, route(func(each *serving.Route) {
				each.Name, each.Prefix, each.Splits = "gone", "/gone/", []serving.Split{{Service: "gone", Weight: 1}}
			}))
		})
		paths[index].setFor(dialsRefused, gone...)
	}
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	client := relays[0].client(t)
	for range 5 {
		require.Equal(t, 503, client.do("POST", "/gone/", "x").status)
		require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	}
	require.Empty(t, allRequests(gone))
}
