package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against requests that are lost, or answered as if they might have run, while the relay to which they are forwarded stops.
func TestForwardedRequestsOutliveAStopOfThePeer(t *testing.T) {
	slow := func(connection net.Conn, request backEndRequest) bool {
		time.Sleep(2 * time.Millisecond)
		writeAnswer(connection, request, 200, "ok")
		return true
	}
	backEnds := startThree(t, slow)
	relays, paths := newRelayGroup(t, 3, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		listener, err := net.Listen("tcp", "127.0.0.1:0") // stands for the one for clients
		if err == nil {
			relays[1].drain(t.Context(), listener)
			relays[1].stopForwarding()
		}
	}()
	client := relays[0].client(t)
	sent := 0
	for isStopped := false; !isStopped; {
		select {
		case <-stopped:
			isStopped = true
		default:
		}
		sent++
		answer := client.do("POST", "/path/", "x")
		require.Equal(t, 200, answer.status, "request %d: %s", sent, answer.body)
	}
	require.Len(t, allRequests(backEnds), sent)
}

// Guards against a request that draws on both relays' retry budgets, or on neither, and one that weighs twice in a split.
func TestForwardedRequestsDrawOnOneRetryBudgetOnce(t *testing.T) {
	backEnds := startThree(t, answering(500, "failed"))
	relays, paths := newRelayGroup(t, 2, route(safe), nil, backEnds...)
	control := newTestRelay(t, route(safe), backEnds...)
	for _, relay := range append(relays, control) {
		relay.budget.SetBounds(0, time.Minute, 3)
	}
	allowed := 0
	for control.maySpendRetry() {
		allowed++
	}
	require.Positive(t, allowed)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	client := relays[0].client(t)
	const requests = 8
	for range requests {
		require.Equal(t, 500, client.do("GET", "/path/", "").status)
	}
	require.Len(t, allRequests(backEnds), requests+allowed, "the second relay repeats as often as its budget allows")
	for range allowed {
		require.True(t, relays[0].maySpendRetry(), "the first relay has repeated nothing")
	}
	require.False(t, relays[1].maySpendRetry())
}

// maySpendRetry takes a retry from the budget of the service, and reports whether there was one.
func (r *testRelay) maySpendRetry() bool {
	return r.trySpendRetry(&request{service: &serving.Service{Name: "service"}})
}

// Guards against a second relay that selects the service anew: a request must go where the first relay's weights sent it.
func TestForwardedRequestsKeepTheirService(t *testing.T) {
	backEnds := startThree(t, answering(200, "service"))
	others := startThree(t, answering(200, "other"))
	for _, each := range others {
		each.entry.ID, each.entry.Service = "other-"+each.entry.ID, "other"
	}
	relays, paths := newRelayGroup(t, 2, route(nil), nil, append(backEnds, others...)...)
	for _, relay := range relays {
		relay.changeConfiguration(func(c *serving.Configuration) {
			c.Services = append(c.Services, serving.Service{Name: "other"})
			c.Routes[0].Splits = []serving.Split{{Service: "service", Weight: 1}, {Service: "other", Weight: 3}}
		})
	}
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	client := relays[0].client(t)
	const requests = 40
	counts := map[string]int{}
	for range requests {
		counts[client.do("GET", "/path/", "").body]++
	}
	require.InDelta(t, requests/4, counts["service"], 2)
	require.Equal(t, requests, counts["service"]+counts["other"])
}

// Guards against runs that cannot leave their engine at the second relay, and against a migration that the first relay's client
// notices.
func TestForwardedRunMigratesAtTheSecondRelay(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, "handle"}, moveAnswer{200, "handle"})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventOne, eventTwo+eventThree))
	relays, paths := newRelayGroup(t, 2, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), nil, former.scriptedBackEnd, next)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	relays[0].preferring("former")
	relays[1].preferring("former")
	client := relays[0].client(t)
	client.send("POST", "/path/", "x")
	<-former.began
	require.Eventually(t, func() bool { return relays[1].engineOf("former").moverCount() == 1 }, time.Minute, time.Millisecond)
	for _, relay := range relays { // either may own the engines; frees the slots
		relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork)
	}
	relays[1].changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
	answer := client.read()
	require.True(t, answer.isComplete)
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
	require.Equal(t, "former", string(answer.head.Peek("T-Seal")))
	require.Equal(t, "1", string(next.receivedRequests()[0].head.Peek("T-Last")))
}
