package slots

import (
	"context"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	// reportInterval is the time between two reports of a relay that holds slots. An owner that has just become one grants
	// only half of the slots for 300 ms, in which it must have got a report of each relay.
	reportInterval = 250 * time.Millisecond
	// batchDelay is the time during which released slots are collected into one report, and promises into one message.
	batchDelay = 3 * time.Millisecond
	// promisesPerDatagram is how many promises one datagram holds; each takes up to 31 bytes.
	promisesPerDatagram = 32
)

// runReports sends reports and promises until the context ends, and updates the back ends of the owned services, whose
// readiness changes without a new list.
func (s *Slots) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		isRefresh := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			isRefresh = true
			s.Refresh()
		case <-s.holdings.refreshDue:
			isRefresh = true
		case <-s.holdings.changed:
			pause.For(ctx, batchDelay)
		case <-s.granter.promisesChanged:
			pause.For(ctx, batchDelay)
		}
		s.sendPromises()
		s.sendReports(isRefresh)
	}
}

// sendReports sends the due reports to the owners of the slots.
func (s *Slots) sendReports(isRefresh bool) {
	for service, reports := range s.holdings.takeReports(isRefresh) {
		for _, report := range reports {
			report.Relay = s.config.Incarnation
			s.sendReport(service, report)
		}
	}
}

func (s *Slots) sendReport(service string, report slotqueue.Report) {
	message := reportToWire(service, report)
	for _, owner := range s.owners.of(service) {
		if owner == s.address() {
			s.granter.applyReport(service, report)
		} else {
			s.config.Socket.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotReport{SlotReport: message}})
		}
	}
}

// sendPromises sends the changed promises to the other owner of each service.
func (s *Slots) sendPromises() {
	now := s.config.Now()
	for service, changes := range s.granter.takeChanges() {
		for _, owner := range s.owners.of(service) {
			if owner != s.address() {
				s.sendChanges(owner, service, changes, now)
			}
		}
	}
}

func (s *Slots) sendChanges(to, service string, changes []returnplan.Change, now time.Duration) {
	for batch := range slices.Chunk(changes, promisesPerDatagram) {
		message := &v1.SlotPromises{Service: service}
		for _, change := range batch {
			message.Promises = append(message.Promises, promiseToWire(change, now))
		}
		s.config.Socket.Send(to, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotPromises{SlotPromises: message}})
	}
}
