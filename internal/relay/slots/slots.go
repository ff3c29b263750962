package slots

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// Slots requests slots from their owners, and grants slots of the services that this relay owns. It is safe for concurrent
// use.
type Slots struct {
	config   Config
	owners   owners
	queries  *datagram.Queries[*v1.SlotAnswer]
	holdings *holdings
	granter  *granter
}

// New returns the slots of a relay that has no list of relays yet. Until it has one, it owns no slots, and Acquire returns
// Unavailable.
func New(config Config) *Slots {
	result := &Slots{config: config, queries: datagram.NewQueries[*v1.SlotAnswer](config.Socket), holdings: newHoldings()}
	result.granter = newGranter(&result.config, func(decided addressedDecision) {
		result.sendAnswer(decided.to, answerToWire(&decided.decision))
	})
	return result
}

// SetRelays sets the addresses of the relays among which the owners of slots are chosen: those whose format has slot queues.
func (s *Slots) SetRelays(addresses []string) {
	if !s.owners.setRelays(addresses) {
		return
	}
	s.Refresh()
	signal(s.holdings.refreshDue) // new owners do not know the slots that this relay holds
}

// Refresh updates the services whose slots this relay grants, and their back ends.
func (s *Slots) Refresh() {
	ranks := map[string]int{}
	for _, service := range s.config.Services() {
		if rank := s.owners.rankOf(service, s.address()); rank >= 0 {
			ranks[service] = rank
		}
	}
	s.granter.setServices(ranks)
}

func (s *Slots) address() string { return s.config.Socket.Address }

// OwnersOf returns the addresses of the relays that grant the slots of a service: the owner, then its deputy.
func (s *Slots) OwnersOf(service string) []string { return s.owners.of(service) }

// Run advances the queues and sends reports and promises until the context ends.
func (s *Slots) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.runQueues(ctx); return nil })
	group.Go(func() error { s.runReports(ctx); return nil })
	return group.Wait()
}

// runQueues advances the queues whenever one of them is due.
func (s *Slots) runQueues(ctx context.Context) {
	for {
		wait, needed := s.granter.advanceDue()
		timer := time.NewTimer(wait)
		due := timer.C
		if !needed {
			due = nil
		}
		select {
		case <-ctx.Done():
		case <-due:
		case <-s.granter.rescheduled:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// Release ends the use of a slot.
func (s *Slots) Release(grant Grant, result slotqueue.Result) {
	s.holdings.release(grant.service, grant.number, result)
}

// HandleRequest answers another relay's request, or withdraws it.
func (s *Slots) HandleRequest(request *v1.SlotRequest, from string) {
	service, id := request.GetService(), requestID(request)
	if request.GetCancelled() {
		s.granter.cancel(service, id)
		return
	}
	decision, isOwner := s.granter.submit(service, requestFromWire(request, s.config.Now()), from)
	if !isOwner {
		s.sendAnswer(from, notOwner(id))
		return
	}
	s.sendAnswer(from, answerToWire(&decision))
}

// HandleAnswer delivers an answer to the request that waits for it.
func (s *Slots) HandleAnswer(answer *v1.SlotAnswer) {
	s.queries.Deliver(answer.GetNumber(), answer.GetRelay() == s.config.Incarnation, answer)
}

// HandleReport applies another relay's report. Reports about services whose slots this relay does not grant are ignored:
// the reporting relay has another list of relays for a moment.
func (s *Slots) HandleReport(report *v1.SlotReport) {
	s.granter.applyReport(report.GetService(), reportFromWire(report))
}

// HandlePromises applies the promises of the other owner of a service's slots. Promises of any other relay are dropped.
func (s *Slots) HandlePromises(promises *v1.SlotPromises, from string) {
	if s.owners.rankOf(promises.GetService(), from) < 0 {
		s.config.Socket.CountDrop(datagram.Unexpected)
		return
	}
	now := s.config.Now()
	changes := make([]returnplan.Change, 0, len(promises.GetPromises()))
	for _, promise := range promises.GetPromises() {
		changes = append(changes, promiseFromWire(promise, now))
	}
	s.granter.applyChanges(promises.GetService(), changes)
}

// sendAnswer sends an answer to the relay with the given address, which may be this one.
func (s *Slots) sendAnswer(to string, answer *v1.SlotAnswer) {
	if to == s.address() {
		s.HandleAnswer(answer)
		return
	}
	s.config.Socket.Send(to, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotAnswer{SlotAnswer: answer}})
}
