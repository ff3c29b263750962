package relay

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// scriptedOwner is an owner whose datagrams a test reads and writes.
type scriptedOwner struct {
	t      *testing.T
	socket net.PacketConn
}

func newScriptedOwner(t *testing.T) *scriptedOwner {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &scriptedOwner{t: t, socket: socket}
}

func (o *scriptedOwner) address() string { return o.socket.LocalAddr().String() }

// read returns the next datagram and its sender.
func (o *scriptedOwner) read() (*v1.RelayDatagram, net.Addr) {
	o.t.Helper()
	buffer := make([]byte, 2*datagram.MaxSize)
	length, from, err := o.socket.ReadFrom(buffer)
	require.NoError(o.t, err)
	received := &v1.RelayDatagram{}
	require.NoError(o.t, proto.Unmarshal(buffer[:length], received))
	return received, from
}

// write sends a datagram.
func (o *scriptedOwner) write(to net.Addr, message *v1.RelayDatagram) {
	o.t.Helper()
	message.Format = datagram.Format
	content, err := proto.Marshal(message)
	require.NoError(o.t, err)
	_, err = o.socket.WriteTo(content, to)
	require.NoError(o.t, err)
}

// An owner that is slow, or whose answers are lost while it receives queries, is notified that its answer is not used. A
// late answer changes nothing.
func TestLateAnswerOfAnOwnerIsNotUsed(t *testing.T) {
	near := startBackEnd(t, "near", serving.StageDecode, streaming("near", eventOne))
	far := startBackEnd(t, "far", serving.StageDecode, streaming("far", eventOne))
	relay := newTestRelay(t, route(stream(true)), near, far)
	owner := newScriptedOwner(t)
	relay.ownedBy(owner.address())
	relay.engineOf("far").addWork(placement.Work{Streams: 7})
	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	require.Len(t, near.receivedRequests(), 1, "the relay decided itself")

	query, from := owner.read()
	require.NotNil(t, query.GetRequest())
	cancelled, _ := owner.read()
	require.Equal(t, query.GetRequest().GetNumber(), cancelled.GetCancel().GetNumber())
	owner.write(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_Answer{Answer: &v1.PlacementAnswer{
		Number: query.GetRequest().GetNumber(), Relay: query.GetRequest().GetRelay(),
		Action: v1.PlacementAction_PLACEMENT_ACTION_READ_DIRECTLY, Engine: relay.engineOf("far").hash,
	}}})
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(relay.metrics.datagramsDropped.WithLabelValues(string(datagram.Unexpected))) == 1
	}, time.Minute, time.Millisecond)
	require.Empty(t, far.receivedRequests())
}

// A relay stops waiting for an owner that keeps postponing its answer after the maximum number of waits.
func TestOwnerThatKeepsARequestWaitingIsAbandoned(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	relay := newTestRelay(t, route(stream(true)), engine)
	owner := newScriptedOwner(t)
	relay.ownedBy(owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x", shortPrompt...)
	query, from := owner.read()
	for range relay.policy.MaxPrefillWaits + 1 {
		owner.write(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_Answer{Answer: &v1.PlacementAnswer{
			Number: query.GetRequest().GetNumber(), Relay: query.GetRequest().GetRelay(),
			Action: v1.PlacementAction_PLACEMENT_ACTION_WAIT, Engine: relay.engineOf("engine").hash,
		}}})
	}
	require.Equal(t, eventOne, client.read().body)
}

// Two relays may both believe that they own an engine. Each takes its own assignments into account, and receives the
// other's through the notices of the querying relays.
func TestTwoOwnersOfOneEngineLearnOfEachOthersAssignments(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	one, other := newPair(t, engine)
	query := func() *engineQuery {
		return &engineQuery{purpose: purposeDecode, service: "service", request: placement.Request{Stage: serving.StageDecode}}
	}
	for number := range uint64(3) {
		one.placementOwner.decide(query(), one.view.Load().byService["service"], &placement.QueryID{Relay: 7, Number: number})
		other.placementOwner.decide(query(), other.view.Load().byService["service"], &placement.QueryID{Relay: 8, Number: number})
	}
	hash := one.engineOf("engine").hash
	require.Equal(t, 3, one.reservedWork("engine").Streams)
	notice := &v1.LoadNotice{Relay: 8, Sequence: 1, Engines: []*v1.EngineWork{{Engine: hash, Streams: 3, Assigned: []uint64{0, 1, 2}}}}
	one.notices.handle(notice)
	other.notices.handle(notice)
	answer := one.placementOwner.decide(query(), one.view.Load().byService["service"], nil)
	require.Equal(t, 6, answer.selection.queuedWork.Streams, "its own assignments and the reported work")
	answer = other.placementOwner.decide(query(), other.view.Load().byService["service"], nil)
	require.Equal(t, 3, answer.selection.queuedWork.Streams, "the reported work replaces the assignments")
}

// The newest list of relays determines the owners; a relay that is not in the list owns nothing.
func TestOwnershipFollowsTheListOfRelays(t *testing.T) {
	relay := newTestRelay(t, route(stream(true)), startBackEnd(t, "engine", serving.StageDecode, refusing(503)))
	engine, now := relay.engineOf("engine"), relay.clock.now()
	require.Empty(t, relay.placements.otherOwners(now, engine), "no other relay receives notices")
	relay.setRelays([]string{"127.0.0.1:1", "127.0.0.1:2"}, nil)
	require.Empty(t, relay.owners.ownedEngines())
	require.ElementsMatch(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, relay.placements.otherOwners(now, engine))
	relay.setRelays([]string{"127.0.0.1:2", relay.datagrams.Address}, nil)
	require.Len(t, relay.owners.ownedEngines(), 1)
	require.Equal(t, []string{"127.0.0.1:2"}, relay.placements.otherOwners(now, engine))
}

// An owner that has just started knows no cells yet. Its answer that it cannot place a request is not used: the relay
// queries the deputy, or decides itself.
func TestAnswerOfAnOwnerWithoutCellsIsNotUsed(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne))
	relay := newTestRelay(t, route(stream(false)), engine)
	owner := newTestRelay(t, route(stream(false)))
	relay.ownedBy(owner.datagrams.Address)
	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	require.EqualValues(t, 1, testutil.ToFloat64(relay.metrics.placementQueries.WithLabelValues(queryStale)))
}
