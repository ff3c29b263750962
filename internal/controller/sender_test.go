package controller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// recordingPeer records delivered messages, and fails while failing is set.
type recordingPeer struct {
	delivered []*v1.DeliverRequest
	failing   bool
}

func (r *recordingPeer) Deliver(_ context.Context, request *connect.Request[v1.DeliverRequest]) (*connect.Response[v1.DeliverResponse], error) {
	if r.failing {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("away"))
	}
	r.delivered = append(r.delivered, request.Msg)
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}

func newTestSender(peer *recordingPeer) (*sender, *int) {
	dropped := new(int)
	return &sender{
		client: peer, queue: make(chan *v1.ConsensusMessage, senderQueue),
		sent: func(int) {}, dropped: func(messages int) { *dropped += messages }, delivered: func() {}, failed: func(error) {},
	}, dropped
}

func TestSenderDropsTheOldestAndBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &recordingPeer{}
		sender, dropped := newTestSender(peer)
		for index := range senderQueue + 10 {
			sender.enqueue(&v1.ConsensusMessage{LogIndex: uint64(index)})
		}
		require.Equal(t, 10, *dropped)
		go sender.run(t.Context())
		synctest.Wait()
		require.Len(t, peer.delivered, 1, "queued messages are sent in one call")
		messages := peer.delivered[0].GetMessages()
		require.Len(t, messages, senderQueue)
		require.Equal(t, uint64(10), messages[0].GetLogIndex())
	})
}

func TestSenderBoundsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &recordingPeer{}
		sender, _ := newTestSender(peer)
		large := &v1.ConsensusMessage{Entries: []*v1.Entry{{Data: make([]byte, maxDeliverBytes/2)}}}
		for range 6 {
			sender.enqueue(large)
		}
		go sender.run(t.Context())
		synctest.Wait()
		require.Len(t, peer.delivered, 3)
	})
}

// Guards against snapshots that pile up for a peer that is away: one was queued for each election timeout.
func TestNewestSnapshotReplacesWaitingOnes(t *testing.T) {
	started := map[lane]*sender{}
	peers := &senders{lanes: map[lane]*sender{}, start: func(to lane) *sender {
		started[to] = &sender{queue: make(chan *v1.ConsensusMessage, to.queueSize()), dropped: func(int) {}}
		return started[to]
	}}
	for index := range uint64(5) {
		peers.send("peer", &v1.ConsensusMessage{LogIndex: index, Snapshot: &v1.Snapshot{Data: []byte("state")}})
		peers.send("peer", &v1.ConsensusMessage{LogIndex: index})
	}
	snapshots := started[lane{address: "peer", snapshot: true}].queue
	require.Len(t, snapshots, 1)
	require.Equal(t, uint64(4), (<-snapshots).GetLogIndex())
	require.Len(t, started[lane{address: "peer"}].queue, 5)
}

func TestSenderContinuesAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &recordingPeer{failing: true}
		sender, dropped := newTestSender(peer)
		go sender.run(t.Context())
		sender.enqueue(&v1.ConsensusMessage{LogIndex: 1})
		synctest.Wait()
		require.Equal(t, 1, *dropped)
		peer.failing = false
		sender.enqueue(&v1.ConsensusMessage{LogIndex: 2})
		pause.For(t.Context(), 2*retryPause)
		synctest.Wait()
		require.Len(t, peer.delivered, 1)
	})
}

func TestDeliverRefusesOtherFleetsAndFullQueues(t *testing.T) {
	service := consensusService{received: func(string) {}, loop: newLoop(&scriptedCore{}, nil), fleet: "ours"}
	_, err := service.Deliver(t.Context(), connect.NewRequest(&v1.DeliverRequest{Messages: []*v1.ConsensusMessage{{Fleet: "theirs"}}}))
	require.Equal(t, connect.CodePermissionDenied, connect.CodeOf(err))
	for range peerQueueSize {
		service.loop.sendPeerMessage(control.PeerMessage{})
	}
	_, err = service.Deliver(t.Context(), connect.NewRequest(&v1.DeliverRequest{Messages: []*v1.ConsensusMessage{{Fleet: "ours"}}}))
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}
