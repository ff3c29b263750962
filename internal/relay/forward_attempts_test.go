package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// tried two back ends, a request with two attempts reached eight.
func TestForwardedAttemptsCountAgainstTheRoutesLimit(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*serving.Route)
		want   int
	}{
		"safe":   {safe, 2},
		"unsafe": {nil, 1},
		"stream": {stream(true), 2},
	} {
		t.Run(name, func(t *testing.T) {
			backEnds := startThree(t, resetting(""))
			relays, paths := newRelayGroup(t, 4, route(test.change), nil, backEnds...)
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			answer := relays[0].client(t).do("POST", "/path/", "x")
			require.Equal(t, 502, answer.status)
			require.Len(t, allRequests(backEnds), test.want)
		})
	}
}

// again, and a safe one goes to a third relay.
func TestPeerThatDiesWhileItServes(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*serving.Route)
		status int
		runs   int
	}{
		"safe":         {safe, 200, 2},
		"unsafe":       {nil, 502, 1},
		"one attempt":  {func(route *serving.Route) { safe(route); route.MaxAttempts = 1 }, 502, 1},
		"stream":       {stream(false), 502, 1},
		"safe, budget": {safe, 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, resume := make(chan struct{}, 10), make(chan struct{})
			backEnds := startThree(t, func(connection net.Conn, request backEndRequest) bool {
				arrived <- struct{}{}
				<-resume
				writeAnswer(connection, request, 200, "ok")
				return true
			})
			relays, paths := newRelayGroup(t, 3, route(test.change), nil, backEnds...)
			if name == "safe, budget" {
				for _, relay := range relays {
					relay.budget.SetBounds(0, time.Minute, 0)
				}
			}
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			client := relays[0].client(t)
			client.send("POST", "/path/", "x")
			<-arrived
			for _, relay := range relays[1:] {
				if len(relay.connections.activeRequests()) > 0 {
					relay.stopForwarding()
					break
				}
			}
			go func() {
				if test.runs > 1 {
					<-arrived
				}
				close(resume)
			}()
			require.Equal(t, test.status, client.read().status)
			require.Len(t, allRequests(backEnds), test.runs)
		})
	}
}

// Guards against two relays that exceed a back end's limit, or serve with a limited back end without its permit.
func TestForwardedRequestsKeepABackEndsLimit(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok", "T-Limit: 1"))
	relays, paths := newRelayGroup(t, 2, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	statuses := map[int]int{}
	for range 30 {
		statuses[relays[0].client(t).do("POST", "/path/", "x").status]++
	}
	t.Logf("%v", statuses)
	require.Less(t, statuses[200], 15, "three back ends allow one request a second each")
	require.Equal(t, statuses[200], len(allRequests(backEnds)))
	require.Equal(t, 30, statuses[200]+statuses[503])
}
