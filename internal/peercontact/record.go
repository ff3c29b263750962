package peercontact

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
)

// maximumPeers limits the peers of a Record; at the limit, a new peer replaces the one without contact for longest.
const maximumPeers = 64

// Record records the contact with peers. It is safe for concurrent use.
type Record struct {
	// now returns the steady time since an origin.
	now func() time.Duration

	mutex sync.Mutex
	peers map[string]*peer
}

// peer is the contact with one peer; times are those of Record.now, Never for none.
type peer struct {
	receivedAt, deliveredAt, triedAt time.Duration
	// openedAt holds the time at which each open connection was opened.
	openedAt map[*recordedConn]time.Duration
	failures map[failureKind]occurrences
}

type failureKind struct {
	operation Operation
	cause     Cause
}

type occurrences struct {
	count  int
	lastAt time.Duration
}

// NewRecord returns a Record without peers. The function returns the steady time since an origin.
func NewRecord(now func() time.Duration) *Record {
	return &Record{now: now, peers: make(map[string]*peer)}
}

// Received records a message from a peer.
func (r *Record) Received(address string) {
	if address == "" {
		return
	}
	r.update(address, func(peer *peer) { peer.receivedAt = r.now() })
}

// Delivered records that a peer confirmed messages to it.
func (r *Record) Delivered(address string) {
	r.update(address, func(peer *peer) { peer.deliveredAt = r.now() })
}

// Failed records that an operation with a peer failed. An operation that this process itself cancelled is no failure.
func (r *Record) Failed(address string, operation Operation, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	kind := failureKind{operation: operation, cause: causeOf(err)}
	r.update(address, func(peer *peer) {
		peer.failures[kind] = occurrences{count: peer.failures[kind].count + 1, lastAt: r.now()}
	})
}

// Dial returns a Dial that records the connections to peers.
func (r *Record) Dial(dial dialing.Dial) dialing.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			r.Failed(address, Connect, err)
			return nil, err
		}
		recorded := &recordedConn{Conn: conn}
		recorded.forget = func() { r.closed(address, recorded) }
		r.update(address, func(peer *peer) { peer.openedAt[recorded] = r.now() })
		return recorded, nil
	}
}

// closed records that a connection was closed; the peer may have been removed since it was opened.
func (r *Record) closed(address string, connection *recordedConn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.peers[address]; known != nil {
		delete(known.openedAt, connection)
	}
}

// Peers returns the contact with each peer, sorted by address.
func (r *Record) Peers() []Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	peers := make([]Peer, 0, len(r.peers))
	for address, peer := range r.peers {
		peers = append(peers, peer.at(now, address))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	return peers
}

// update applies a change to a peer, which is added if it is not known.
func (r *Record) update(address string, change func(*peer)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.peers[address]
	if known == nil {
		if len(r.peers) >= maximumPeers {
			r.removeOldest()
		}
		known = &peer{receivedAt: Never, deliveredAt: Never, openedAt: make(map[*recordedConn]time.Duration), failures: make(map[failureKind]occurrences)}
		r.peers[address] = known
	}
	known.triedAt = r.now()
	change(known)
}

// removeOldest removes the peer that was not called, and sent nothing, for longest.
func (r *Record) removeOldest() {
	oldest := ""
	for address, peer := range r.peers {
		if oldest == "" || peer.triedAt < r.peers[oldest].triedAt {
			oldest = address
		}
	}
	delete(r.peers, oldest)
}

// at returns the contact with the peer at a time.
func (p *peer) at(now time.Duration, address string) Peer {
	age := func(at time.Duration) time.Duration {
		if at == Never {
			return Never
		}
		return now - at
	}
	contact := Peer{Address: address, ReceivedAge: age(p.receivedAt), DeliveredAge: age(p.deliveredAt), Connections: len(p.openedAt), ConnectionAge: Never}
	newest := Never
	for _, openedAt := range p.openedAt {
		newest = max(newest, openedAt)
	}
	contact.ConnectionAge = age(newest)
	for _, operation := range operations {
		for _, cause := range causes {
			if failed, has := p.failures[failureKind{operation, cause}]; has {
				contact.Failures = append(contact.Failures, Failure{Operation: operation, Cause: cause, Count: failed.count, Age: now - failed.lastAt})
			}
		}
	}
	return contact
}

// recordedConn is an open connection to a peer.
type recordedConn struct {
	net.Conn
	forget func()
	once   sync.Once
}

// Close implements net.Conn.
func (c *recordedConn) Close() error {
	c.once.Do(c.forget)
	return c.Conn.Close()
}
