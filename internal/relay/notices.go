package relay

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// noticePause gathers what changes within it into one notice.
	noticePause = 3 * time.Millisecond
	// noticeRefresh is the time between two notices of work that goes on.
	noticeRefresh = 500 * time.Millisecond
	// maximumNotice bounds a datagram; engines that do not fit follow in the next.
	maximumNotice = 1200
	// nearPeers is how many relays get notices of streams, farPeers how many get those of
	// prompts and failures, which are fewer and matter more.
	nearPeers = 16
	farPeers  = 96
	// noticeEngines is how many engines fit into a notice for certain.
	noticeEngines = 12
)

// notices exchanges load notices with other relays, so that all of them see the work that
// engines have. Nothing depends on them but the quality of choices.
type notices struct {
	relay  *Relay
	socket net.PacketConn
	self   uint64
	// address is where this relay takes notices.
	address string
	table   *loadTable
	changed chan struct{}

	mutex sync.Mutex
	// peers are those that get notices of prompts; the first nearPeers get all.
	peers    []net.Addr
	peerList []string
	// pending are the back ends of which there is something to tell.
	pending map[*backEnd]pendingNotice
	// failures are the back ends that failed since the last notice.
	failures map[*backEnd]bool
	sequence uint64
}

func newNotices(relay *Relay, socket net.PacketConn, self uint64) *notices {
	return &notices{
		relay: relay, socket: socket, self: self, address: socket.LocalAddr().String(), table: newLoadTable(),
		changed: make(chan struct{}, 1), pending: map[*backEnd]pendingNotice{}, failures: map[*backEnd]bool{},
	}
}

// setPeers takes the addresses of all relays.
func (n *notices) setPeers(addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if slices.Equal(addresses, n.peerList) {
		return
	}
	n.peerList = slices.Clone(addresses)
	n.peers = nil
	own := max(slices.Index(addresses, n.address), 0)
	for offset := 1; offset < len(addresses) && len(n.peers) < farPeers; offset++ {
		peer, err := net.ResolveUDPAddr("udp", addresses[(own+offset)%len(addresses)])
		if err == nil && peer.String() != n.address {
			n.peers = append(n.peers, peer)
		}
	}
}

// send sends notices until the context ends.
func (n *notices) send(ctx context.Context) {
	refresh := time.NewTicker(noticeRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			n.refresh()
		case <-n.changed:
			if !pause.For(ctx, noticePause) {
				return
			}
		}
		n.sendPending()
	}
}

// refresh adds the engines at which this relay has work to the next notice.
func (n *notices) refresh() {
	now := n.relay.clock.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, backEnds := range n.relay.view.Load().byService {
		for _, backEnd := range backEnds {
			own := backEnd.look(now).own
			if _, waits := n.pending[backEnd]; !waits && backEnd.isEngine() && own != (placement.Work{}) {
				n.pending[backEnd] = pendingNotice{far: own.Prompts > 0}
			}
		}
	}
}

// sendPending sends what has changed to all peers.
func (n *notices) sendPending() {
	for {
		notice, peers := n.next()
		if notice == nil {
			return
		}
		datagram, err := proto.Marshal(notice)
		if err != nil || len(datagram) > maximumNotice {
			continue // figures are absolute: the refresh repeats them
		}
		for _, peer := range peers {
			_, _ = n.socket.WriteTo(datagram, peer) // a lost notice is repeated by the refresh
		}
	}
}

// next takes up to noticeEngines engines out of what is pending, and says who gets the notice.
func (n *notices) next() (*v1.LoadNotice, []net.Addr) {
	now := n.relay.clock.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.pending) == 0 {
		return nil, nil
	}
	n.sequence++
	notice := &v1.LoadNotice{Relay: n.self, Sequence: n.sequence}
	far := false
	for engine, waiting := range n.pending {
		if len(notice.Engines) == noticeEngines {
			break
		}
		delete(n.pending, engine)
		far = far || waiting.far
		own := engine.look(now).own
		told := &v1.EngineWork{
			Engine: engine.hash, Prompts: uint32(max(own.Prompts, 0)), PromptTokens: wireTokens(own), Streams: uint32(max(own.Streams, 0)),
		}
		told.TokenNs = uint32(min(waiting.tokenTime, math.MaxUint32))
		told.Failed = n.failures[engine]
		delete(n.failures, engine)
		told.Parts, told.PartTokens = wireParts(waiting.read)
		told.KeptParts, told.KeptTokens = wireParts(waiting.kept)
		for _, hash := range waiting.dropped {
			told.DroppedParts = append(told.DroppedParts, uint64(hash))
		}
		notice.Engines = append(notice.Engines, told)
	}
	if far {
		return notice, n.peers
	}
	return notice, n.peers[:min(len(n.peers), nearPeers)]
}

// receive takes notices until the socket is closed.
func (n *notices) receive() {
	buffer := make([]byte, 2*maximumNotice)
	for {
		length, _, err := n.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(noticePause)
			continue
		}
		notice := &v1.LoadNotice{}
		if proto.Unmarshal(buffer[:length], notice) != nil || notice.GetRelay() == n.self {
			continue
		}
		if n.table.take(n.relay.clock.now(), notice) {
			n.learn(notice)
		}
	}
}

// learn notes what engines have begun to read for other relays, and which back ends failed.
func (n *notices) learn(notice *v1.LoadNotice) {
	byHash := n.relay.view.Load().byHash
	for _, told := range notice.GetEngines() {
		engine := byHash[told.GetEngine()]
		if engine == nil {
			continue
		}
		if told.GetFailed() {
			engine.suspect(n.relay.clock.now())
		}
		n.relay.pace.observe(engine.hash, time.Duration(told.GetTokenNs()))
		now := n.relay.clock.now()
		if read := partsFromWire(told.GetParts(), told.GetPartTokens()); len(read) > 0 {
			engine.cache.begin(now, read)
		}
		if dropped := told.GetDroppedParts(); len(dropped) > 0 {
			engine.cache.drop(hashesFromWire(dropped))
		}
		if kept := partsFromWire(told.GetKeptParts(), told.GetKeptTokens()); len(kept) > 0 {
			engine.cache.keep(now, kept)
		}
	}
}

// isEngine reports whether the back end is a model engine.
func (b *backEnd) isEngine() bool { return b.Stage != serving.StageWhole }
