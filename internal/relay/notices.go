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
	// noticeBatchDelay is the time during which changes are collected into one notice.
	noticeBatchDelay = 3 * time.Millisecond
	// noticeRefreshInterval is the time between two notices about work that continues.
	noticeRefreshInterval = 500 * time.Millisecond
	// maxFailurePeers is how many relays receive notices about failures of back ends that have no owner.
	maxFailurePeers = 16
	// maxNoticeBytes is the space for the engines of a notice in a datagram.
	maxNoticeBytes = datagram.MaxSize - 64
)

// loadNotices sends notices about this relay's work to the owners of engines, and applies the notices of other relays. Only
// the quality of placement decisions depends on notices.
type loadNotices struct {
	relay       *Relay
	datagrams   *datagram.Socket
	incarnation uint64
	table       *loadTable
	changed     chan struct{}

	mutex sync.Mutex
	// peers are the relays that receive notices about failures of back ends without an owner.
	peers []string
	// pending holds the back ends with changes that were not sent yet.
	pending  map[*backEnd]pendingNotice
	sequence uint64
}

func newLoadNotices(relay *Relay, datagrams *datagram.Socket, incarnation uint64) *loadNotices {
	return &loadNotices{
		relay: relay, datagrams: datagrams, incarnation: incarnation, table: newLoadTable(),
		changed: make(chan struct{}, 1), pending: map[*backEnd]pendingNotice{},
	}
}

// setPeers selects the relays that receive notices about failures of back ends without an owner: those that follow this
// relay in the list of all relays' addresses.
func (n *loadNotices) setPeers(addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.peers = nil
	ownIndex := max(slices.Index(addresses, n.datagrams.Address), 0)
	for offset := 1; offset < len(addresses) && len(n.peers) < maxFailurePeers; offset++ {
		if peer := addresses[(ownIndex+offset)%len(addresses)]; peer != n.datagrams.Address {
			n.peers = append(n.peers, peer)
		}
	}
}

// run sends notices until the context ends.
func (n *loadNotices) run(ctx context.Context) {
	refresh := time.NewTicker(noticeRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			n.queueRefresh()
		case <-n.changed:
			if !pause.For(ctx, noticeBatchDelay) {
				return
			}
		}
		n.sendPending()
	}
}

// queueRefresh queues notices for the engines at which this relay has work.
func (n *loadNotices) queueRefresh() {
	now := n.relay.clock.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, backEnds := range n.relay.view.Load().byService {
		for _, backEnd := range backEnds {
			if !backEnd.isEngine() {
				break
			}
			if _, isQueued := n.pending[backEnd]; !isQueued && backEnd.currentLoad(now).ownWork != (placement.Work{}) {
				n.pending[backEnd] = pendingNotice{}
			}
		}
	}
}

// sendPending sends the queued changes to the relays concerned.
func (n *loadNotices) sendPending() {
	if !n.relay.mechanisms.IsEnabled(mechanism.Notices) {
		return
	}
	for receiver, engines := range n.takePending() {
		for len(engines) > 0 {
			count := fittingCount(engines)
			n.sequence++
			n.datagrams.Send(receiver, &v1.RelayDatagram{Content: &v1.RelayDatagram_Notice{Notice: &v1.LoadNotice{
				Relay: n.incarnation, Sequence: n.sequence, Engines: engines[:count],
			}}})
			engines = engines[count:]
		}
	}
}

// fittingCount returns how many of the engines fit into one notice, at least one.
func fittingCount(engines []*v1.EngineWork) int {
	room := maxNoticeBytes
	for index, engine := range engines {
		const tagAndLength = 4
		if room -= proto.Size(engine) + tagAndLength; room < 0 {
			return max(index, 1)
		}
	}
	return len(engines)
}

// takePending removes the queued changes and returns them by the addresses of their receivers.
func (n *loadNotices) takePending() map[string][]*v1.EngineWork {
	now := n.relay.clock.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	byReceiver := map[string][]*v1.EngineWork{}
	for engine, queued := range n.pending {
		work := n.workOf(now, engine, queued)
		for _, receiver := range n.receivers(now, engine) {
			byReceiver[receiver] = append(byReceiver[receiver], work)
		}
	}
	clear(n.pending)
	return byReceiver
}

// workOf returns this relay's work at an engine and the queued changes there. The mutex is held.
func (n *loadNotices) workOf(now time.Duration, engine *backEnd, queued pendingNotice) *v1.EngineWork {
	ownWork := engine.currentLoad(now).ownWork
	result := &v1.EngineWork{
		Engine: engine.hash, Prompts: uint32(max(ownWork.Prefills, 0)), PromptTokens: tokensToWire(ownWork), Streams: uint32(max(ownWork.Streams, 0)),
		TokenNs: uint32(min(queued.timePerToken, math.MaxUint32)), Failed: queued.failed, Assigned: queued.queryNumbers,
	}
	step, relativeTimePercent := engine.takeSpeeds()
	result.StepNs, result.TimePercent = wireNanoseconds(step), uint32(relativeTimePercent)
	result.Parts, result.PartTokens = blocksToWire(queued.started)
	result.KeptParts, result.KeptTokens = blocksToWire(queued.cached)
	for _, hash := range queued.abandoned {
		result.DroppedParts = append(result.DroppedParts, uint64(hash))
	}
	return result
}

// receivers returns the relays that receive notices about a back end: the owner and the deputy of an engine's cell, or the
// relays that act for them when they do not answer; the peers for a back end without an owner. The mutex is held.
func (n *loadNotices) receivers(now time.Duration, engine *backEnd) []string {
	if !engine.isEngine() {
		return n.peers
	}
	return n.relay.placements.otherOwners(now, engine)
}

// handle records and applies another relay's notice, unless it is older than an earlier one.
func (n *loadNotices) handle(notice *v1.LoadNotice) {
	if notice.GetRelay() != n.incarnation && n.table.record(n.relay.clock.now(), notice) {
		n.apply(notice)
	}
}

// apply applies a notice's changes: released reservations, failures, prefill times, and started, abandoned and cached blocks.
func (n *loadNotices) apply(notice *v1.LoadNotice) {
	byHash := n.relay.view.Load().byHash
	for _, entry := range notice.GetEngines() {
		n.relay.placementOwner.releaseReservations(notice.GetRelay(), entry.GetAssigned())
		engine := byHash[entry.GetEngine()]
		if engine == nil {
			continue
		}
		if entry.GetFailed() {
			engine.recordPeerFailure(n.relay.clock.now())
		}
		n.relay.prefillSpeed.observe(engine.hash, time.Duration(entry.GetTokenNs()))
		now := n.relay.clock.now()
		n.applySpeeds(now, engine, entry)
		if started := blocksFromWire(entry.GetParts(), entry.GetPartTokens()); len(started) > 0 {
			engine.cache.beginPrefill(now, started)
		}
		if dropped := entry.GetDroppedParts(); len(dropped) > 0 {
			engine.cache.dropBlocks(hashesFromWire(dropped))
		}
		if cached := blocksFromWire(entry.GetKeptParts(), entry.GetKeptTokens()); len(cached) > 0 {
			engine.cache.markCached(now, cached)
			engine.clearPeerFailures()
		}
	}
}

// applySpeeds applies another relay's observations of an engine's speed.
func (n *loadNotices) applySpeeds(now time.Duration, engine *backEnd, entry *v1.EngineWork) {
	speeds := n.relay.speeds
	speeds.ObserveReport(now, engine.Service, engine.hash, relativeTime(int(entry.GetTimePercent())))
	if entry.GetStepNs() > 0 {
		streams := n.table.totalWork(now, engine, engine.currentLoad(now)).Streams
		speeds.ObserveStep(now, engine.Service, engine.hash, time.Duration(entry.GetStepNs()), streams)
	}
}

// isEngine reports whether the back end is a model engine.
func (b *backEnd) isEngine() bool { return b.Stage != serving.StageWhole }
