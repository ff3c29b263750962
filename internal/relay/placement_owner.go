package relay

import (
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// maxWaitingQueries bounds the questions of other relays that wait for readings at one owner.
const maxWaitingQueries = 2048

// placementOwner decides where requests run on the engines of cells, for this relay and for others
// that ask. It counts what it has assigned, so that each decision sees those before it.
type placementOwner struct {
	relay *Relay

	mutex    sync.Mutex
	reserved *placement.Reservations
	// waiting are the questions that wait for another request's reading; closing a channel ends
	// the wait.
	waiting map[placement.QueryID]chan struct{}
}

func newPlacementOwner(relay *Relay) *placementOwner {
	return &placementOwner{relay: relay, reserved: placement.NewReservations(), waiting: map[placement.QueryID]chan struct{}{}}
}

// decide decides among the engines. The work that it assigns counts from now on when another
// relay has asked; asker is nil for this relay's own requests, whose work begins at once.
func (o *placementOwner) decide(query *engineQuery, engines []*backEnd, asker *placement.QueryID) engineAnswer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.relay.clock.now()
	query.request.Now, query.request.UncachedShare = now, o.relay.pace.usualShare()
	o.expireReservations(now)
	candidates := o.relay.candidatesOf(engines, query.request.Prompt, query.excludes, now)
	for index := range candidates.engines {
		candidates.engines[index].Work = candidates.engines[index].Work.Plus(o.reserved.ReservedWork(candidates.engines[index].Hash))
	}
	answer := engineAnswer{holder: candidates.bestHolder()}
	if query.holder != nil {
		candidates = candidates.withHolder(query.holder)
	}
	answer.decision = query.decideAmong(o.relay.policy, candidates, o.relay.draw)
	answer.chosen = candidates.selectionOf(answer.decision.Engine)
	if answer.decision.Action == placement.PrefillSeparately && query.purpose == purposeBegin {
		o.relay.pace.observeShare(query.request.Tokens, answer.decision.Engine.PrefillTokens)
	}
	if asker != nil && o.relay.without.IsEnabled(mechanism.Reservations) {
		o.reserve(now, *asker, query, answer)
	}
	return answer
}

// reserve counts the work that an answer gives its engine. The mutex is held.
func (o *placementOwner) reserve(now time.Duration, asker placement.QueryID, query *engineQuery, answer engineAnswer) {
	if action := answer.decision.Action; action != placement.PrefillSeparately && action != placement.PrefillOnDecodeEngine {
		return
	}
	reserved := placement.Reservation{Engine: answer.chosen.backEnd.hash, Work: query.workOf(o.relay.policy, answer.decision)}
	for _, part := range answer.chosen.backEnd.cache.beginPrefill(now, query.request.Prompt) {
		reserved.PendingBlocks = append(reserved.PendingBlocks, part.Hash)
	}
	if former, found := o.reserved.Add(now, asker, reserved); found {
		o.dropReservedBlocks(former)
	}
}

// expireReservations ends reservations of which nothing was told in time. The mutex is held.
func (o *placementOwner) expireReservations(now time.Duration) {
	for _, reserved := range o.reserved.Expire(now) {
		o.dropReservedBlocks(reserved)
	}
}

// dropReservedBlocks forgets what a reservation's engine would have read. The mutex is held.
func (o *placementOwner) dropReservedBlocks(reserved placement.Reservation) {
	if engine := o.relay.view.Load().byHash[reserved.Engine]; engine != nil && len(reserved.PendingBlocks) > 0 {
		engine.cache.dropBlocks(reserved.PendingBlocks)
	}
}

// releaseReservations ends the reservations of questions whose work a relay tells of from now on.
func (o *placementOwner) releaseReservations(relay uint64, numbers []uint64) {
	if len(numbers) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, number := range numbers {
		o.reserved.Release(placement.QueryID{Relay: relay, Number: number})
	}
}

// cancel ends a question: its wait, or the reservation that it got.
func (o *placementOwner) cancel(request *v1.PlacementCancel) {
	asker := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if stop, waits := o.waiting[asker]; waits {
		close(stop)
		delete(o.waiting, asker)
	}
	if reserved, found := o.reserved.Release(asker); found {
		o.dropReservedBlocks(reserved)
	}
}

// handleQuery answers another relay's question. One that had better wait for a reading is told so, and
// answered again after it.
func (o *placementOwner) handleQuery(request *v1.PlacementRequest, reply func(*v1.PlacementAnswer)) {
	current := o.relay.owners.current.Load().services[request.GetService()]
	if current == nil {
		replyUnknownCell(request, reply)
		return
	}
	index, known := current.division.IndexByID(request.GetCell())
	if !known {
		replyUnknownCell(request, reply)
		return
	}
	engines := current.members[index]
	query := queryFromWire(request, o.relay.view.Load())
	asker := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	decided := o.decide(query, engines, &asker)
	if decided.decision.Action != placement.AwaitSharedPrefill {
		reply(answerToWire(request, decided))
		return
	}
	stop := o.registerWait(asker)
	if stop == nil {
		query.request.PrefillWaits = o.relay.policy.MaxPrefillWaits
		reply(answerToWire(request, o.decide(query, engines, &asker)))
		return
	}
	go o.answerAfterWait(request, query, engines, decided, stop, reply)
}

// replyUnknownCell answers a question about a cell that is not known here. A relay of the first format would take the answer
// for the word that nothing can be placed, and refuse the request: it gets none, and asks another one.
func replyUnknownCell(request *v1.PlacementRequest, reply func(*v1.PlacementAnswer)) {
	if formats.FromWire(request.GetFormats()) != (formats.Range{}) {
		reply(unknownCellAnswer(request))
	}
}

// registerWait notes a question that waits; nil when too many do, or when it does already.
func (o *placementOwner) registerWait(asker placement.QueryID) (stop chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if _, waits := o.waiting[asker]; waits || len(o.waiting) >= maxWaitingQueries {
		return nil
	}
	stop = make(chan struct{})
	o.waiting[asker] = stop
	return stop
}

// answerAfterWait waits for readings of other requests, and answers then.
func (o *placementOwner) answerAfterWait(request *v1.PlacementRequest, query *engineQuery, engines []*backEnd, decided engineAnswer, stop chan struct{}, reply func(*v1.PlacementAnswer)) {
	asker := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	for decided.decision.Action == placement.AwaitSharedPrefill {
		limit := min(o.relay.prefillWaitLimit(decided.chosen), query.request.TimeLeft)
		waiting := answerToWire(request, decided)
		waiting.WaitingUs = microseconds(limit)
		reply(waiting)
		waited := o.relay.awaitCached(&prefillWait{
			chosen: decided.chosen, prefixBlocks: query.request.Prompt, rank: query.request.Rank, limit: limit, stop: stop,
		})
		query.request.PrefillWaits++
		if !waited {
			query.request.PrefillWaits = o.relay.policy.MaxPrefillWaits
		}
		select {
		case <-stop:
			return
		default:
		}
		decided = o.decide(query, engines, &asker)
	}
	o.mutex.Lock()
	if _, waits := o.waiting[asker]; !waits { // it was cancelled meanwhile
		reserved, _ := o.reserved.Release(asker)
		o.dropReservedBlocks(reserved)
		o.mutex.Unlock()
		return
	}
	delete(o.waiting, asker)
	o.mutex.Unlock()
	reply(answerToWire(request, decided))
}
