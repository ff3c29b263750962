package forwarding

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// unableTime is how long a relay that could not serve a forwarded request is passed over for the same service.
	unableTime = time.Second
	// unreachableTime is how long a relay is passed over that could not be connected to. An attempt to connect takes up to
	// 0.3 s, and both together must end within a second of the end of a silence of the network.
	unreachableTime = 600 * time.Millisecond
	// provenTime is how long a relay that has served a forwarded request is preferred to others.
	provenTime = 3 * time.Second
)

// Peers are the other relays to which requests may be forwarded. It is safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	peers map[string]*peer
	// addresses are the addresses of the peers, sorted.
	addresses []string
}

// peer is one other relay.
type peer struct {
	avoidUntil, provenUntil time.Duration
	// unableUntil is until when the peer is passed over for requests to a service; it may serve those to others.
	unableUntil map[string]time.Duration
	// inFlight counts the requests that this relay has forwarded to the peer and that have not ended.
	inFlight int
}

// NewPeers returns an empty set of peers.
func NewPeers() *Peers { return &Peers{peers: map[string]*peer{}} }

// Set replaces the addresses of the peers. What is known of those that stay is kept.
func (p *Peers) Set(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers
	p.peers = make(map[string]*peer, len(addresses))
	for _, address := range addresses {
		if p.peers[address] = known[address]; p.peers[address] == nil {
			p.peers[address] = &peer{unableUntil: map[string]time.Duration{}}
		}
	}
	p.addresses = slices.Sorted(slices.Values(addresses))
}

// Pick selects a peer that is not in tried for a request to a service, and counts a request in flight there; the caller must
// call Done. It compares two random peers and prefers one that served a forwarded request recently, then the one with fewer
// requests in flight. draw returns random numbers in [0, 1). Pick returns false when no peer is left.
func (p *Peers) Pick(now time.Duration, service string, tried []string, draw func() float64) (address string, isFound bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	candidates := make([]string, 0, len(p.addresses))
	for _, each := range p.addresses {
		if p.peers[each].isCandidate(now, service) && !slices.Contains(tried, each) {
			candidates = append(candidates, each)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	one := candidates[int(draw()*float64(len(candidates)))]
	other := candidates[int(draw()*float64(len(candidates)))]
	if p.isBetter(now, other, one) {
		one = other
	}
	p.peers[one].inFlight++
	return one, true
}

// isCandidate reports whether the peer may serve a request to a service.
func (p *peer) isCandidate(now time.Duration, service string) bool {
	return now >= p.avoidUntil && now >= p.unableUntil[service]
}

// isBetter reports whether a peer is to be preferred to another one. The mutex is held.
func (p *Peers) isBetter(now time.Duration, address, than string) bool {
	one, other := p.peers[address], p.peers[than]
	if isProven := now < one.provenUntil; isProven != (now < other.provenUntil) {
		return isProven
	}
	return one.inFlight < other.inFlight
}

// Outcome is how a peer has handled a forwarded request.
type Outcome int

// Outcomes.
const (
	// Neutral says nothing about the peer.
	Neutral Outcome = iota
	// Served: the peer has reached a back end.
	Served
	// CouldNotServe: the peer has answered that it cannot serve the request.
	CouldNotServe
	// Unreachable: the peer could not be connected to, or the connection broke.
	Unreachable
)

// String returns the label value of the outcome.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case CouldNotServe:
		return "could_not_serve"
	case Unreachable:
		return "unreachable"
	default:
		return "neutral"
	}
}

// Done records how a forwarded request to a service has ended at a peer.
func (p *Peers) Done(now time.Duration, address, service string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[address]
	if known == nil {
		return // not listed any more
	}
	known.inFlight = max(known.inFlight-1, 0) // the peer may have been removed and listed again
	switch outcome {
	case Served:
		known.provenUntil = now + provenTime
	case CouldNotServe:
		maps.DeleteFunc(known.unableUntil, func(_ string, until time.Duration) bool { return now >= until })
		known.unableUntil[service], known.provenUntil = now+unableTime, 0
	case Unreachable:
		known.avoidUntil, known.provenUntil = now+unreachableTime, 0
	case Neutral:
	}
}
