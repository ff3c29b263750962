package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// senderQueue limits the messages that wait for one peer. When it is full the oldest
	// is dropped, because the consensus protocol resends what it needs.
	senderQueue = 256
	// snapshotQueue limits the snapshots that wait for one peer. A snapshot may have several MiB, and the newest one replaces
	// the others.
	snapshotQueue = 1
	// maxDeliverBytes limits the estimated size of the messages in one call.
	maxDeliverBytes = 1 << 20
	// deliverTimeout limits a call to a peer, beside the time that its messages take at minimumTransferRate.
	deliverTimeout = 2 * time.Second
	// minimumTransferRate is the rate in bytes per second at which a peer must receive messages. A snapshot starts from its first
	// byte in each call; a connection that carries nothing is closed long before.
	minimumTransferRate = 256 << 10
	// retryPause is the delay after a failed call, so that calls to a peer that is down cost little.
	retryPause = 50 * time.Millisecond
)

// sender sends consensus messages to one peer, several in one call.
type sender struct {
	client hazelpitchv1connect.ConsensusServiceClient
	queue  chan *v1.ConsensusMessage
	// sent and dropped count messages.
	sent, dropped func(messages int)
	// delivered records that the peer confirmed messages, failed that a call failed.
	delivered func()
	failed    func(error)
}

// enqueue adds a message and drops the oldest when the queue is full. Only the loop
// calls it. It never blocks.
func (s *sender) enqueue(message *v1.ConsensusMessage) {
	for {
		select {
		case s.queue <- message:
			return
		default:
		}
		select {
		case <-s.queue:
			s.dropped(1)
		default:
		}
	}
}

// run delivers messages until the context ends.
func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.queue:
			s.deliver(ctx, s.collectMessages(message))
		}
	}
}

// collectMessages returns the first message and further queued ones, up to maxDeliverBytes.
func (s *sender) collectMessages(first *v1.ConsensusMessage) []*v1.ConsensusMessage {
	messages, bytes := []*v1.ConsensusMessage{first}, messageBytes(first)
	for bytes < maxDeliverBytes {
		select {
		case message := <-s.queue:
			messages = append(messages, message)
			bytes += messageBytes(message)
		default:
			return messages
		}
	}
	return messages
}

func (s *sender) deliver(ctx context.Context, messages []*v1.ConsensusMessage) {
	limited, cancel := context.WithTimeout(ctx, deliverTimeout+transferTime(messages))
	defer cancel()
	request := connect.NewRequest(&v1.DeliverRequest{Messages: messages})
	if _, err := s.client.Deliver(limited, request); err != nil {
		s.failed(err)
		s.dropped(len(messages))
		pause.For(ctx, retryPause)
		return
	}
	s.delivered()
	s.sent(len(messages))
}

// transferTime returns how long the messages may take to transfer.
func transferTime(messages []*v1.ConsensusMessage) time.Duration {
	bytes := 0
	for _, message := range messages {
		bytes += messageBytes(message)
	}
	return time.Duration(bytes) * time.Second / minimumTransferRate
}

// messageBytes estimates the size of a message from its large fields.
func messageBytes(message *v1.ConsensusMessage) int {
	const fixedBytes = 64
	bytes := fixedBytes + len(message.GetSnapshot().GetData())
	for _, entry := range message.GetEntries() {
		bytes += len(entry.GetData())
	}
	return bytes
}

// lane separates snapshots, which take long to transfer, from other messages.
type lane struct {
	address  string
	snapshot bool
}

// queueSize returns how many messages may wait in the lane.
func (l lane) queueSize() int {
	if l.snapshot {
		return snapshotQueue
	}
	return senderQueue
}

// senders holds one sender per peer and lane and starts it on first use. Only the loop
// uses it.
type senders struct {
	start func(to lane) *sender
	lanes map[lane]*sender
}

func (s *senders) send(address string, message *v1.ConsensusMessage) {
	key := lane{address: address, snapshot: message.GetSnapshot() != nil}
	peer, known := s.lanes[key]
	if !known {
		peer = s.start(key)
		s.lanes[key] = peer
	}
	peer.enqueue(message)
}
