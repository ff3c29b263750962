package relay

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// newSlots creates the relay's slots. Where slots are not shared, it gets no list of relays and no services, and answers
// other relays that it owns none.
func newSlots(relay *Relay) *slots.Slots {
	return slots.New(slots.Config{
		Socket: relay.datagrams, Incarnation: relay.fleet.incarnation, Now: func() time.Duration { return relay.clock.now() },
		Draw: relay.draw, Peers: relay.peers, AnswerTimeout: func() time.Duration { return relay.slotAnswerTimeout() },
		Services: relay.servicesWithSlots, BackEnds: relay.backEndsWithSlots,
		Without: relay.mechanisms, Event: relay.event, DecisionEvent: func(event events.Event) *zerolog.Event {
			return relay.log.logger.WithLevel(zerolog.InfoLevel).Str(events.FieldEvent, string(event))
		}, Metrics: relay.metrics.slots,
	})
}

// servicesWithSlots returns the names of the listed services whose slots relays share.
func (r *Relay) servicesWithSlots() []string {
	view := r.view.Load()
	if !r.sharesSlots || view.table == nil {
		return nil
	}
	var names []string
	for name := range view.byService {
		if service := view.table.Service(name); service != nil && service.Engine == nil {
			names = append(names, name)
		}
	}
	return names
}

// backEndsWithSlots returns the back ends of a service for the queue of its slots. Backoffs are left out, since a back end
// asks each relay on its own for one; a relay excludes such back ends from its requests.
func (r *Relay) backEndsWithSlots(service string) []slotqueue.BackEnd {
	view := r.view.Load()
	var backEnds []slotqueue.BackEnd
	for _, backEnd := range view.byService[service] {
		if view.byHash[backEnd.hash] == backEnd { // of two incarnations of a replica, messages can only name one
			backEnds = append(backEnds, slotqueue.BackEnd{
				Hash: backEnd.hash, Slots: backEnd.Slots, Closed: backEnd.isClosed(),
			})
		}
	}
	return backEnds
}

// setSlotRelays sets the relays that can own slots: those of the listed relays whose format has slot queues. highestFormats are the relays' highest formats, in
// the order of the addresses; a leader of an earlier build sends none, and then no relay owns slots.
func (r *Relay) setSlotRelays(addresses []string, highestFormats []uint32) {
	if !r.sharesSlots {
		return
	}
	r.slots.SetRelays(relaysSupporting(formats.SlotQueues, addresses, highestFormats))
}
