package relay

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/datagramloss"
)

// lostBetween returns a loss of all datagrams from some relays to others.
func lostBetween(t *testing.T, from, to []*testRelay) *datagramloss.Loss {
	t.Helper()
	addresses := func(relays []*testRelay) []netip.AddrPort {
		var all []netip.AddrPort
		for _, relay := range relays {
			all = append(all, netip.MustParseAddrPort(relay.datagrams.Address))
		}
		return all
	}
	senders, receivers := addresses(from), addresses(to)
	return &datagramloss.Loss{IsLost: func(from, to netip.AddrPort) bool {
		return slices.Contains(senders, from) && slices.Contains(receivers, to)
	}}
}

// replacedAttempt is a stream that the first of three relays has begun at v2, after an attempt at v1 that brought no event, while the
// reports of the second attempt were lost on the way to some of the others.
type replacedAttempt struct {
	relays []*testRelay
	// same is a back end of v1, which must get nothing of the stream.
	same *scriptedBackEnd
	// first is what the client got of the stream.
	first clientAnswer
}

// beginReplaced begins the stream; lossy are the relays that do not get the reports of the second attempt.
func beginReplaced(t *testing.T, lossy ...int) *replacedAttempt {
	t.Helper()
	fails := make(chan struct{})
	first := ofSoftware("v1", startBackEnd(t, "first", serving.StageWhole, func(net.Conn, backEndRequest) bool { <-fails; return false }))
	second := ofSoftware("v2", startBackEnd(t, "second", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		if len(request.head.Peek("T-Last")) > 0 {
			return resuming("second")(connection, request)
		}
		return streaming("second", eventOne, "cut")(connection, request)
	}))
	began := &replacedAttempt{same: ofSoftware("v1", startBackEnd(t, "same", serving.StageWhole, resuming("same")))}
	began.relays, _ = newRelayGroup(t, 3, route(stream(true)), nil, first, second, began.same)
	relay := began.relays[0]
	relay.discouraging("second", 2)
	relay.discouraging("same", 4)
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	require.Eventually(t, func() bool { return len(first.receivedRequests()) == 1 }, time.Minute, time.Millisecond)
	for _, keeper := range began.relays[1:] {
		require.Zero(t, keeper.origins.HeldCount(), "no event has come from v1")
	}
	var without []*testRelay
	for _, index := range lossy {
		without = append(without, began.relays[index])
	}
	t.Cleanup(relayNetwork.Begin(lostBetween(t, began.relays[:1], without)))
	close(fails)
	began.first = client.read()
	return began
}

// Guards against a stream that goes on at the version of an earlier attempt, which brought no event: the relays that were not told of the
// attempt that did had kept the record of the earlier one, and the relay that began the stream was gone.
func TestRecordOfAnAttemptWithoutEventsDoesNotBindItsStream(t *testing.T) {
	for name, test := range map[string]struct {
		lossy []int
		// isSilent is true if the two other relays do not hear each other when the stream is taken up.
		isSilent bool
	}{
		"one relay was not told": {[]int{1}, false},
		"no relay was told":      {[]int{1, 2}, false},
		"one relay was not told, and does not hear the other one later": {[]int{1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := beginReplaced(t, test.lossy...)
			if began.first.status != 200 { // refused without an event: nothing can be joined
				require.Equal(t, 502, began.first.status)
				require.NotContains(t, began.first.body, "data:")
				require.Empty(t, began.same.receivedRequests())
				return
			}
			require.Equal(t, eventOne, began.first.body)
			require.NoError(t, began.relays[0].datagrams.Close())
			others := began.relays[1:]
			if test.isSilent {
				t.Cleanup(relayNetwork.Begin(lostBetween(t, others, others)))
			}
			for index, relay := range others {
				answer := relay.takeUp(t, "T-Last: 1", "T-Resumes: id-1")
				require.Empty(t, began.same.receivedRequests(), "relay %d went on at the version of the failed attempt", index+1)
				if answer.status == 200 {
					require.Equal(t, eventTwo+eventThree, answer.body)
				} else {
					require.Equal(t, 503, answer.status)
				}
			}
		})
	}
}
