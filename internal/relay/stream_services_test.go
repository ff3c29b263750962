package relay

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// breakingOff breaks new streams off after their first event, and goes on with those that are taken up.
func breakingOff(seal string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		if len(request.head.Peek("T-Last")) > 0 {
			return resuming(seal)(connection, request)
		}
		return streaming(seal, eventOne, "cut")(connection, request)
	}
}

// startServices starts two relays before back ends of two services, of one software version. The route leads to "service".
func startServices(t *testing.T) (relays []*testRelay, other *scriptedBackEnd) {
	t.Helper()
	own := startBackEnd(t, "own", serving.StageWhole, breakingOff("own"))
	other = startBackEnd(t, "other", serving.StageWhole, breakingOff("other"))
	other.entry.Service = "other"
	oneAttempt := func(r *serving.Route) { stream(true)(r); r.MaxAttempts = 1 }
	relays, _ = newRelayGroup(t, 2, route(oneAttempt), nil, own, other)
	for _, relay := range relays {
		relay.changeConfiguration(func(c *serving.Configuration) { c.Services = append(c.Services, serving.Service{Name: "other"}) })
	}
	return relays, other
}

// beginBroken begins streams, which break off after their first event, and returns the seals of the back ends that began them.
func (r *testRelay) beginBroken(t *testing.T, streams int) (seals []string) {
	t.Helper()
	for number := range streams {
		client := r.client(t)
		client.sent = number
		answer := client.do("POST", "/path/", "x")
		require.Equal(t, eventOne, answer.body)
		seals = append(seals, string(answer.head.Peek("T-Seal")))
		for _, backEnds := range r.view.Load().byService {
			for _, backEnd := range backEnds {
				backEnd.recordSuccess()
			}
		}
	}
	return seals
}

// takeUpAll takes up streams at a relay, and returns how many went on, each with the rest of its events and where it had begun.
func (r *testRelay) takeUpAll(t *testing.T, seals []string) (wentOn int) {
	t.Helper()
	for number, seal := range seals {
		answer := r.takeUp(t, "T-Last: 1", fmt.Sprintf("T-Resumes: id-%d", number+1))
		if answer.status == 200 {
			require.Equal(t, eventTwo+eventThree, answer.body)
			require.Equal(t, seal, string(answer.head.Peek("T-Seal")))
			wentOn++
			continue
		}
		require.Equal(t, 503, answer.status)
	}
	return wentOn
}

// Guards against a stream that a client takes up and that goes on at another service of its route, which is split between several.
func TestTakenUpStreamGoesOnAtItsServiceOfASplitRoute(t *testing.T) {
	relays, other := startServices(t)
	split := func(c *serving.Configuration) {
		c.Routes[0].Splits = []serving.Split{{Service: "service", Weight: 1}, {Service: "other", Weight: 1}}
	}
	const streams = 6
	seals := relays[0].beginBroken(t, streams)
	for _, relay := range relays {
		relay.changeConfiguration(split)
	}
	_ = relays[1].takeUpAll(t, seals)
	require.Empty(t, other.receivedRequests())
}

// Guards against a stream that a client takes up and that goes on at the service to which its route leads since.
func TestTakenUpStreamDoesNotFollowItsRouteToAnotherService(t *testing.T) {
	relays, other := startServices(t)
	const streams = 6
	seals := relays[0].beginBroken(t, streams)
	for _, relay := range relays {
		relay.changeConfiguration(func(c *serving.Configuration) {
			c.Routes[0].Splits = []serving.Split{{Service: "other", Weight: 1}}
		})
	}
	require.Zero(t, relays[1].takeUpAll(t, seals))
	require.Empty(t, other.receivedRequests())
}

// Guards against streams of a split route that cannot go on: the relays record at which service each of them began.
func TestStreamsOfASplitRouteGoOn(t *testing.T) {
	relays, _ := startServices(t)
	for _, relay := range relays {
		relay.changeConfiguration(func(c *serving.Configuration) {
			c.Routes[0].Splits = []serving.Split{{Service: "service", Weight: 1}, {Service: "other", Weight: 1}}
		})
	}
	const streams = 8
	seals := relays[0].beginBroken(t, streams)
	require.Equal(t, streams, relays[1].takeUpAll(t, seals))
}
