package relay

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// sharingSlots makes the relay share slots, with the given owners of all services.
func (r *testRelay) sharingSlots(t *testing.T, owners ...string) *testRelay {
	t.Helper()
	r.sharesSlots = true
	r.slotAnswerTimeout = func() time.Duration { return time.Hour } // a slow test owner must not look silent
	r.slots.SetRelays(owners)
	go func() { _ = r.slots.Run(t.Context()) }()
	return r
}

// slotRequests returns how many requests for slots had an outcome.
func (r *testRelay) slotRequests(t *testing.T, outcome slots.Kind) int {
	t.Helper()
	families, err := r.metrics.registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() != "hazelpitch_relay_slot_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetValue() == string(outcome) {
					return int(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return 0
}

// scriptedSlotOwner is an owner of slots whose answers a test writes.
type scriptedSlotOwner struct {
	*scriptedOwner
	// released are the releases that it was told of.
	released []*v1.ReleasedSlot
}

func newScriptedSlotOwner(t *testing.T) *scriptedSlotOwner {
	return &scriptedSlotOwner{scriptedOwner: newScriptedOwner(t)}
}

// next returns the next datagram and its sender, and records releases. A datagram that never comes fails the test.
func (o *scriptedSlotOwner) next() (*v1.RelayDatagram, net.Addr) {
	o.t.Helper()
	require.NoError(o.t, o.socket.SetReadDeadline(time.Now().Add(time.Minute)))
	received, from := o.read()
	o.released = append(o.released, received.GetSlotReport().GetReleased()...)
	return received, from
}

// answerSlotRequest reads datagrams until a request for a slot, and answers it.
func (o *scriptedSlotOwner) answerSlotRequest(answer *v1.SlotAnswer) *v1.SlotRequest {
	o.t.Helper()
	for {
		received, from := o.next()
		request := received.GetSlotRequest()
		if request == nil {
			continue
		}
		answer.Number, answer.Relay = request.GetNumber(), request.GetRelay()
		o.write(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotAnswer{SlotAnswer: answer}})
		return request
	}
}

// releaseOf reads datagrams until the slot of a request is released.
func (o *scriptedSlotOwner) releaseOf(request *v1.SlotRequest) *v1.ReleasedSlot {
	o.t.Helper()
	for {
		for _, released := range o.released {
			if released.GetNumber() == request.GetNumber() {
				return released
			}
		}
		o.next()
	}
}

func granting(hash uint64) *v1.SlotAnswer {
	return &v1.SlotAnswer{Outcome: v1.SlotOutcome_SLOT_OUTCOME_GRANTED, BackEnd: hash, LeaseUs: 1_000_000}
}

// The request goes to the back end that the owner has granted and not to the one that this relay would select, and the
// owner learns how long it took and the back end's slowdown.
func TestRequestGoesToTheGrantedBackEnd(t *testing.T) {
	near := startBackEnd(t, "near", serving.StageWhole, answering(200, "near"))
	far := startBackEnd(t, "far", serving.StageWhole, answering(200, "far", "T-Load: 1,0,8,250"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(nil), near, far).preferring("near").sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	request := owner.answerSlotRequest(granting(relay.engineOf("far").hash))
	require.Equal(t, "far", client.read().body)
	require.Equal(t, "service", request.GetService())
	require.NotZero(t, request.GetSignature())
	require.NotZero(t, request.GetTimeLeftUs())
	released := owner.releaseOf(request)
	require.NotZero(t, released.GetServiceUs())
	require.EqualValues(t, 250, released.GetSlowdownPercent())
	require.False(t, released.GetTurnedAway())
	require.Empty(t, near.receivedRequests())
}

// A refusal of the owner reaches the client with its return time, and nothing is sent to a back end.
func TestRefusalOfASlotReachesTheClient(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "one"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(nil), backEnd).sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	owner.answerSlotRequest(&v1.SlotAnswer{Outcome: v1.SlotOutcome_SLOT_OUTCOME_REFUSED, RetryAfterUs: 432_000, IsPromised: true})
	answer := client.read()
	require.Equal(t, 503, answer.status)
	require.Equal(t, "0.432", string(answer.head.Peek("Retry-After")))
	require.Empty(t, backEnd.receivedRequests())
}

// A refusal promises that the request has not run. After an attempt that may have run, the owner is told that it cannot
// refuse; if it does nevertheless, the client must not get the promise.
func TestRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	broken := startBackEnd(t, "broken", serving.StageWhole, resetting(""))
	other := startBackEnd(t, "other", serving.StageWhole, answering(200, "other"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(safe), broken, other).sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("GET", "/path/", "")
	first := owner.answerSlotRequest(granting(relay.engineOf("broken").hash))
	require.False(t, first.GetMayHaveRun())
	second := owner.answerSlotRequest(&v1.SlotAnswer{Outcome: v1.SlotOutcome_SLOT_OUTCOME_REFUSED, RetryAfterUs: 100_000})
	require.True(t, second.GetMayHaveRun())
	require.Equal(t, []uint64{relay.engineOf("broken").hash}, second.GetExcluded())
	require.Equal(t, 502, client.read().status)
	require.Empty(t, other.receivedRequests())
}

// Each attempt has a slot of its own, and the owner learns that the first back end turned the request away, so that it does
// not grant its free slots to all others.
func TestEachAttemptHasItsSlot(t *testing.T) {
	refuses := startBackEnd(t, "refuses", serving.StageWhole, refusing(503))
	serves := startBackEnd(t, "serves", serving.StageWhole, answering(200, "served"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(nil), refuses, serves).sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	first := owner.answerSlotRequest(granting(relay.engineOf("refuses").hash))
	second := owner.answerSlotRequest(granting(relay.engineOf("serves").hash))
	require.Equal(t, "served", client.read().body)
	require.NotEqual(t, first.GetNumber(), second.GetNumber())
	require.Contains(t, second.GetExcluded(), relay.engineOf("refuses").hash)
	released := owner.releaseOf(first)
	require.True(t, released.GetTurnedAway())
	require.Zero(t, released.GetServiceUs())
}

// The owner's list may be older or newer than this relay's. A granted back end that is not listed here, or leaves, is not
// used: its slot is released, and the relay selects by itself.
func TestGrantedBackEndThatCannotBeUsed(t *testing.T) {
	leaving := startBackEnd(t, "leaving", serving.StageWhole, answering(200, "leaving"))
	staying := startBackEnd(t, "staying", serving.StageWhole, answering(200, "staying"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(nil), leaving, staying).sharingSlots(t, owner.address())
	relay.markLeaving("leaving")
	for _, hash := range []uint64{cell.HashEngine("unknown"), relay.engineOf("leaving").hash} {
		client := relay.client(t)
		client.send("POST", "/path/", "x")
		request := owner.answerSlotRequest(granting(hash))
		require.Equal(t, "staying", client.read().body)
		owner.releaseOf(request)
	}
	require.Empty(t, leaving.receivedRequests())
}

// An owner that does not answer must not keep requests from being served: the relay selects by itself.
func TestSilentOwnerOfSlots(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "one"))
	relay := newTestRelay(t, route(nil), backEnd).sharingSlots(t, newScriptedOwner(t).address())
	relay.slotAnswerTimeout = relay.peers.Timeout
	require.Equal(t, "one", relay.client(t).do("POST", "/path/", "x").body)
	require.Equal(t, 1, relay.slotRequests(t, slots.Unavailable))
}

// A client that leaves while its request is queued ends its place in the queue, and nothing is sent to a back end, not even
// when the slot is granted at that moment.
func TestClientThatLeavesWhileQueuedIsNotServed(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "one"))
	owner := newScriptedSlotOwner(t)
	relay := newTestRelay(t, route(nil), backEnd).sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	request := owner.answerSlotRequest(&v1.SlotAnswer{Outcome: v1.SlotOutcome_SLOT_OUTCOME_QUEUED})
	repetition, _ := owner.next()
	require.Equal(t, request.GetNumber(), repetition.GetSlotRequest().GetNumber(), "the relay knows that the request is queued")
	require.NoError(t, client.connection.Close())
	var from net.Addr
	for isCancelled := false; !isCancelled; {
		received, sender := owner.next()
		isCancelled, from = received.GetSlotRequest().GetCancelled() && received.GetSlotRequest().GetNumber() == request.GetNumber(), sender
	}
	late := granting(relay.engineOf("one").hash)
	late.Number, late.Relay = request.GetNumber(), request.GetRelay()
	owner.write(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotAnswer{SlotAnswer: late}})
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(relay.metrics.datagramsDropped.WithLabelValues("not_expected")) == 1
	}, time.Minute, time.Millisecond)
	require.Empty(t, backEnd.receivedRequests())
	require.Equal(t, 1, relay.slotRequests(t, slots.Abandoned))
}

// Where slots are not shared, no owner is asked even if the list of relays would name one, and other relays are told that
// this relay owns nothing.
func TestWithoutTheFeatureNoSlotIsRequested(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "one"))
	relay := newTestRelay(t, route(nil), backEnd)
	relay.fleet.ApplyUpdate(&v1.WatchResponse{
		Formats: formats.Supported().ToWire(), RelayAddresses: []string{relay.datagrams.Address}, RelayFormats: []uint32{uint32(formats.Newest)}, RelayList: 5, Relays: 1,
	})
	require.Empty(t, relay.slots.OwnersOf("service"))
	require.Equal(t, "one", relay.client(t).do("POST", "/path/", "x").body)
	require.Zero(t, relay.slotRequests(t, slots.Unavailable))

	asking := newScriptedOwner(t)
	address, err := net.ResolveUDPAddr("udp", relay.datagrams.Address)
	require.NoError(t, err)
	asking.write(address, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotRequest{SlotRequest: &v1.SlotRequest{Relay: 1, Number: 2, Service: "service", TimeLeftUs: 1_000_000}}})
	answer, _ := asking.read()
	require.Equal(t, v1.SlotOutcome_SLOT_OUTCOME_NOT_OWNER, answer.GetSlotAnswer().GetOutcome())
}

// Only relays whose format has slot queues own slots; without the formats, nobody does.
func TestRelaysOfTheFormerBuildOwnNoSlots(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "one"))).sharingSlots(t)
	others := []string{"127.0.0.1:1", "127.0.0.1:2", relay.datagrams.Address}
	apply := func(list uint64, relayFormats ...uint32) {
		relay.fleet.ApplyUpdate(&v1.WatchResponse{
			Formats: formats.Supported().ToWire(), RelayAddresses: others, RelayFormats: relayFormats, RelayList: list, Relays: 3,
		})
	}
	apply(5, uint32(formats.First), uint32(formats.Second), uint32(formats.SlotQueues))
	require.Equal(t, others[2:], relay.slots.OwnersOf("service"))
	apply(6, uint32(formats.SlotQueues), uint32(formats.Second), uint32(formats.SlotQueues))
	require.ElementsMatch(t, []string{others[0], others[2]}, relay.slots.OwnersOf("service"))
	apply(7)
	require.Empty(t, relay.slots.OwnersOf("service"))
	apply(8, uint32(formats.SlotQueues))
	require.Empty(t, relay.slots.OwnersOf("service"), "formats that do not fit the addresses are not used")
}

// Services with engines have other owners; no slot is requested for them.
func TestServicesWithEnginesHaveNoSlots(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, answering(200, "engine"))
	relay := newTestRelay(t, route(nil), engine)
	relay.sharingSlots(t, relay.datagrams.Address)
	require.Empty(t, relay.servicesWithSlots())
	require.Equal(t, "engine", relay.client(t).do("POST", "/path/", "x").body)
	require.Zero(t, relay.slotRequests(t, slots.Unavailable))
}
