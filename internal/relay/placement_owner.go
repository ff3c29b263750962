package relay

import (
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// maxWaitingQueries bounds the queries of other relays that wait at this owner for a prefill of another request.
const maxWaitingQueries = 2048

// placementOwner decides where requests run on the engines of a cell, for this relay and for other relays that query it.
// It reserves the work that it assigns, so that each decision takes the earlier ones into account.
type placementOwner struct {
	relay *Relay

	mutex        sync.Mutex
	reservations *placement.Reservations
	// waiting holds the queries that wait for another request's prefill. Closing a query's channel ends its wait.
	waiting map[placement.QueryID]chan struct{}
}

func newPlacementOwner(relay *Relay) *placementOwner {
	return &placementOwner{relay: relay, reservations: placement.NewReservations(), waiting: map[placement.QueryID]chan struct{}{}}
}

// decide selects one of the engines for a request. queryID identifies another relay's query, for which the assigned work is
// reserved from now on; it is nil for this relay's own requests, whose work begins at once.
func (o *placementOwner) decide(query *engineQuery, engines []*backEnd, queryID *placement.QueryID) engineAnswer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.relay.clock.now()
	query.request.Now, query.request.UncachedShare = now, o.relay.prefillSpeed.uncachedShare()
	if o.relay.speeds.HasReports(query.service) {
		query.request.FleetPerToken = o.relay.prefillSpeed.average()
	}
	o.expireReservations(now)
	candidates := o.relay.candidatesOf(engines, query.request.Prompt, query.excludes, now)
	for index := range candidates.engines {
		candidates.engines[index].Work = candidates.engines[index].Work.Plus(o.reservations.ReservedWork(candidates.engines[index].Hash))
	}
	answer := engineAnswer{holder: candidates.bestHolder()}
	if query.holder != nil {
		candidates = candidates.withHolder(query.holder)
	}
	answer.decision = query.decideAmong(o.relay.policy, candidates, o.relay.draw)
	answer.selection = candidates.selectionOf(answer.decision.Engine)
	if answer.decision.Action == placement.PrefillSeparately && query.purpose == purposeBegin {
		o.relay.prefillSpeed.observeUncachedShare(query.request.Tokens, answer.decision.Engine.PrefillTokens)
	}
	if queryID != nil && o.relay.mechanisms.IsEnabled(mechanism.Reservations) {
		o.reserve(now, *queryID, query, answer)
	}
	return answer
}

// reserve reserves the work that an answer assigns to an engine. The mutex is held.
func (o *placementOwner) reserve(now time.Duration, queryID placement.QueryID, query *engineQuery, answer engineAnswer) {
	if action := answer.decision.Action; action != placement.PrefillSeparately && action != placement.PrefillOnDecodeEngine {
		return
	}
	reservation := placement.Reservation{Engine: answer.selection.backEnd.hash, Work: query.workOf(o.relay.policy, answer.decision)}
	for _, block := range answer.selection.backEnd.cache.beginPrefill(now, query.request.Prompt) {
		reservation.PendingBlocks = append(reservation.PendingBlocks, block.Hash)
	}
	if replaced, found := o.reservations.Add(now, queryID, reservation); found {
		o.dropReservedBlocks(replaced)
	}
}

// expireReservations removes reservations whose work was not reported in time. The mutex is held.
func (o *placementOwner) expireReservations(now time.Duration) {
	for _, reservation := range o.reservations.Expire(now) {
		o.dropReservedBlocks(reservation)
	}
}

// dropReservedBlocks removes the prefix blocks that the engine would have computed for a reservation. The mutex is held.
func (o *placementOwner) dropReservedBlocks(reservation placement.Reservation) {
	if engine := o.relay.view.Load().byHash[reservation.Engine]; engine != nil && len(reservation.PendingBlocks) > 0 {
		engine.cache.dropBlocks(reservation.PendingBlocks)
	}
}

// releaseReservations removes the reservations of queries whose work the relay includes in its notices from now on.
func (o *placementOwner) releaseReservations(relay uint64, numbers []uint64) {
	if len(numbers) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, number := range numbers {
		o.reservations.Release(placement.QueryID{Relay: relay, Number: number})
	}
}

// cancel cancels a query: it ends the query's wait or removes its reservation.
func (o *placementOwner) cancel(request *v1.PlacementCancel) {
	queryID := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if stop, isWaiting := o.waiting[queryID]; isWaiting {
		close(stop)
		delete(o.waiting, queryID)
	}
	if reservation, found := o.reservations.Release(queryID); found {
		o.dropReservedBlocks(reservation)
	}
}

// handleQuery answers another relay's query. When the request should wait for another request's prefill, a first answer
// announces the wait, and the decision follows after it.
func (o *placementOwner) handleQuery(request *v1.PlacementRequest, reply func(*v1.PlacementAnswer)) {
	current := o.relay.owners.current.Load().services[request.GetService()]
	if current == nil {
		replyUnknownCell(request, reply)
		return
	}
	index, found := current.division.IndexByID(request.GetCell())
	if !found {
		replyUnknownCell(request, reply)
		return
	}
	engines := current.members[index]
	query := queryFromWire(request, o.relay.view.Load())
	queryID := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	result := o.decide(query, engines, &queryID)
	if result.decision.Action != placement.AwaitSharedPrefill {
		reply(answerToWire(request, result))
		return
	}
	stop := o.registerWait(queryID)
	if stop == nil {
		query.request.PrefillWaits = o.relay.policy.MaxPrefillWaits
		reply(answerToWire(request, o.decide(query, engines, &queryID)))
		return
	}
	go o.answerAfterWait(request, query, engines, result, stop, reply)
}

// replyUnknownCell answers a query about a cell that this relay does not know. Relays of the first format do not recognize
// this answer: they would conclude that the request cannot be placed, and refuse it. They are sent no answer, so that they
// query another relay.
func replyUnknownCell(request *v1.PlacementRequest, reply func(*v1.PlacementAnswer)) {
	if formats.FromWire(request.GetFormats()) != (formats.Range{}) {
		reply(unknownCellAnswer(request))
	}
}

// registerWait registers a waiting query; it returns nil when too many queries wait or this one waits already.
func (o *placementOwner) registerWait(queryID placement.QueryID) (stop chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if _, isWaiting := o.waiting[queryID]; isWaiting || len(o.waiting) >= maxWaitingQueries {
		return nil
	}
	stop = make(chan struct{})
	o.waiting[queryID] = stop
	return stop
}

// answerAfterWait waits for the prefills of other requests, decides again, and answers.
func (o *placementOwner) answerAfterWait(request *v1.PlacementRequest, query *engineQuery, engines []*backEnd, result engineAnswer, stop chan struct{}, reply func(*v1.PlacementAnswer)) {
	queryID := placement.QueryID{Relay: request.GetRelay(), Number: request.GetNumber()}
	for result.decision.Action == placement.AwaitSharedPrefill {
		limit := min(o.relay.prefillWaitLimit(result.selection), query.request.TimeLeft)
		waiting := answerToWire(request, result)
		waiting.WaitingUs = microseconds(limit)
		reply(waiting)
		waited := o.relay.awaitCached(&prefillWait{
			selection: result.selection, prefixBlocks: query.request.Prompt, rank: query.request.Rank, limit: limit, stop: stop,
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
		result = o.decide(query, engines, &queryID)
	}
	o.mutex.Lock()
	if _, isWaiting := o.waiting[queryID]; !isWaiting { // cancelled during the decision
		reservation, _ := o.reservations.Release(queryID)
		o.dropReservedBlocks(reservation)
		o.mutex.Unlock()
		return
	}
	delete(o.waiting, queryID)
	o.mutex.Unlock()
	reply(answerToWire(request, result))
}
