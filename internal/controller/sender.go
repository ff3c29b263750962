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
	// senderQueue bounds the messages that wait for one peer; the oldest is dropped
	// when it is full, for the consensus protocol repeats what matters.
	senderQueue = 256
	// deliverBytes bounds the entries sent with one call.
	deliverBytes = 1 << 20
	// deliverTimeout ends a call to a peer that does not answer.
	deliverTimeout = 2 * time.Second
	// retryPause is the wait after a failed call, so that a dead peer costs little.
	retryPause = 50 * time.Millisecond
)

// sender carries consensus messages to one peer, several in one call.
type sender struct {
	client hazelpitchv1connect.ConsensusServiceClient
	queue  chan *v1.ConsensusMessage
	// sent and dropped count messages.
	sent, dropped func(messages int)
}

// enqueue adds a message and drops the oldest when the queue is full. It is called
// by the loop alone and never blocks.
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
			s.deliver(ctx, s.gather(message))
		}
	}
}

// gather adds what else waits, up to deliverBytes.
func (s *sender) gather(first *v1.ConsensusMessage) []*v1.ConsensusMessage {
	messages, bytes := []*v1.ConsensusMessage{first}, messageBytes(first)
	for bytes < deliverBytes {
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
	limited, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := connect.NewRequest(&v1.DeliverRequest{Messages: messages})
	if _, err := s.client.Deliver(limited, request); err != nil {
		s.dropped(len(messages))
		pause.For(ctx, retryPause)
		return
	}
	s.sent(len(messages))
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

// lane separates snapshots, which take long to carry, from everything else.
type lane struct {
	address  string
	snapshot bool
}

// senders holds one sender per peer and lane and starts it on first use. It is used
// by the loop alone.
type senders struct {
	start func(address string) *sender
	lanes map[lane]*sender
}

func (s *senders) send(address string, message *v1.ConsensusMessage) {
	key := lane{address: address, snapshot: message.GetSnapshot() != nil}
	peer, known := s.lanes[key]
	if !known {
		peer = s.start(address)
		s.lanes[key] = peer
	}
	peer.enqueue(message)
}
