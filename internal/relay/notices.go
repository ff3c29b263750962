package relay

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// noticePause gathers what changes within it into one notice.
	noticePause = 3 * time.Millisecond
	// noticeRefresh is the time between two notices of work that goes on.
	noticeRefresh = 500 * time.Millisecond
	// failurePeers is how many relays hear of the failures of back ends that have no owner.
	failurePeers = 16
	// noticeRoom is the part of a datagram, in bytes, that a notice's engines may take.
	noticeRoom = datagram.MaxSize - 64
)

// notices tells the owners of engines what this relay has under way there, and takes what other
// relays tell. Nothing depends on them but the quality of choices.
type notices struct {
	relay     *Relay
	datagrams *datagram.Socket
	self      uint64
	table     *loadTable
	changed   chan struct{}

	mutex sync.Mutex
	// peers are the relays that hear of failures of back ends without an owner.
	peers []string
	// pending are the back ends of which there is something to tell.
	pending  map[*backEnd]pendingNotice
	sequence uint64
}

func newNotices(relay *Relay, datagrams *datagram.Socket, self uint64) *notices {
	return &notices{
		relay: relay, datagrams: datagrams, self: self, table: newLoadTable(),
		changed: make(chan struct{}, 1), pending: map[*backEnd]pendingNotice{},
	}
}

// setPeers takes the addresses of all relays.
func (n *notices) setPeers(addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.peers = nil
	own := max(slices.Index(addresses, n.datagrams.Address), 0)
	for offset := 1; offset < len(addresses) && len(n.peers) < failurePeers; offset++ {
		if peer := addresses[(own+offset)%len(addresses)]; peer != n.datagrams.Address {
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
			if !backEnd.isEngine() {
				break
			}
			if _, waits := n.pending[backEnd]; !waits && backEnd.look(now).own != (placement.Work{}) {
				n.pending[backEnd] = pendingNotice{}
			}
		}
	}
}

// sendPending tells what has changed to those whom it concerns.
func (n *notices) sendPending() {
	if !n.relay.without.IsEnabled(mechanism.Notices) {
		return
	}
	for receiver, told := range n.takePending() {
		for len(told) > 0 {
			fits := fitting(told)
			n.sequence++
			n.datagrams.Send(receiver, &v1.RelayDatagram{Content: &v1.RelayDatagram_Notice{Notice: &v1.LoadNotice{
				Relay: n.self, Sequence: n.sequence, Engines: told[:fits],
			}}})
			told = told[fits:]
		}
	}
}

// fitting is how many of the engines fit into one notice, one at least.
func fitting(told []*v1.EngineWork) int {
	room := noticeRoom
	for index, engine := range told {
		const tagAndLength = 4
		if room -= proto.Size(engine) + tagAndLength; room < 0 {
			return max(index, 1)
		}
	}
	return len(told)
}

// takePending returns what waits to be told, by the address of the relay that it concerns.
func (n *notices) takePending() map[string][]*v1.EngineWork {
	now := n.relay.clock.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	byReceiver := map[string][]*v1.EngineWork{}
	for engine, waiting := range n.pending {
		told := n.workOf(now, engine, waiting)
		for _, receiver := range n.receivers(now, engine) {
			byReceiver[receiver] = append(byReceiver[receiver], told)
		}
	}
	clear(n.pending)
	return byReceiver
}

// workOf is this relay's work at an engine, and what has happened there. The mutex is held.
func (n *notices) workOf(now time.Duration, engine *backEnd, waiting pendingNotice) *v1.EngineWork {
	own := engine.look(now).own
	told := &v1.EngineWork{
		Engine: engine.hash, Prompts: uint32(max(own.Prefills, 0)), PromptTokens: wireTokens(own), Streams: uint32(max(own.Streams, 0)),
		TokenNs: uint32(min(waiting.tokenTime, math.MaxUint32)), Failed: waiting.failed, Assigned: waiting.assigned,
	}
	told.Parts, told.PartTokens = wireParts(waiting.read)
	told.KeptParts, told.KeptTokens = wireParts(waiting.kept)
	for _, hash := range waiting.dropped {
		told.DroppedParts = append(told.DroppedParts, uint64(hash))
	}
	return told
}

// receivers are the relays that hear of an engine: its owner and the stand-in, as far as they
// answer. Of a back end without an owner some peers hear. The mutex is held.
func (n *notices) receivers(now time.Duration, engine *backEnd) []string {
	if !engine.isEngine() {
		return n.peers
	}
	return n.relay.asker.owners(now, engine)
}

// take takes another relay's notice.
func (n *notices) take(notice *v1.LoadNotice) {
	if notice.GetRelay() != n.self && n.table.take(n.relay.clock.now(), notice) {
		n.learn(notice)
	}
}

// learn notes what engines have begun to read for other relays, and which back ends failed.
func (n *notices) learn(notice *v1.LoadNotice) {
	byHash := n.relay.view.Load().byHash
	for _, told := range notice.GetEngines() {
		n.relay.owner.told(notice.GetRelay(), told.GetAssigned())
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
			engine.unsuspect()
		}
	}
}

// isEngine reports whether the back end is a model engine.
func (b *backEnd) isEngine() bool { return b.Stage != serving.StageWhole }
