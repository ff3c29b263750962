package origins

import (
	"context"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Recording is the record of one stream on its way to the relays that keep it.
type Recording struct {
	confirmed chan struct{}
	once      sync.Once
}

// confirm records that another relay keeps the record, or that there is no other relay.
func (r *Recording) confirm() { r.once.Do(func() { close(r.confirmed) }) }

// Await blocks until another relay keeps the record, until the limit, or until stop is closed. It reports whether one does.
func (r *Recording) Await(limit time.Duration, stop <-chan struct{}) bool {
	select {
	case <-r.confirmed:
		return true
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-r.confirmed:
		return true
	case <-timer.C:
	case <-stop:
	}
	return false
}

// pendingReport is a report to one relay that waits for its receipt.
type pendingReport struct {
	owner     string
	report    *v1.StreamOriginReport
	recording *Recording
	sends     int
	sentAt    time.Duration
}

// Record records where a stream of a service begins, here and at the relays that keep it.
func (o *Origins) Record(name streamorigin.Name, service string, record streamorigin.Record) *Recording {
	lifetime := o.config.LifetimeOf(service)
	recording, owners := &Recording{confirmed: make(chan struct{})}, o.ownersOf(name)
	if len(owners) == 0 {
		recording.confirm()
	}
	o.mutex.Lock()
	o.table.Put(o.config.Now(), name, record, lifetime)
	reports := make([]*pendingReport, 0, len(owners))
	for _, owner := range owners {
		o.lastNumber++
		report := &pendingReport{owner: owner, recording: recording, sends: 1, sentAt: o.config.Now(), report: &v1.StreamOriginReport{
			Relay: o.config.Incarnation, Number: o.lastNumber, Origin: originToWire(name, record, lifetime),
		}}
		if len(o.pending) < maxPendingReports {
			o.pending[o.lastNumber] = report
		}
		reports = append(reports, report)
	}
	o.mutex.Unlock()
	for _, report := range reports {
		o.send(report)
	}
	select {
	case o.reported <- struct{}{}:
	default:
	}
	return recording
}

func (o *Origins) send(report *pendingReport) {
	o.config.Metrics.Reports.Inc()
	o.config.Socket.Send(report.owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginReport{StreamOriginReport: report.report}})
}

// Run sends reports without a receipt again, and renews the records of streams that may outlast them, until the context ends.
func (o *Origins) Run(ctx context.Context) {
	ticker, renewal := time.NewTicker(resendInterval), time.NewTicker(renewInterval)
	defer ticker.Stop()
	defer renewal.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renewal.C:
			o.renew()
		case <-o.reported:
		}
		for o.resend() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// renew records the active streams again that may outlast their records.
func (o *Origins) renew() {
	o.recordActive(func(stream *ActiveStream) bool { return stream.MayOutlast })
}

// resend sends the reports again that have waited for a receipt for resendInterval, and gives up those that were sent maxSends times. It
// reports whether any report still waits.
func (o *Origins) resend() bool {
	o.mutex.Lock()
	now := o.config.Now()
	var due []*pendingReport
	for number, report := range o.pending {
		switch {
		case now-report.sentAt < resendInterval:
		case report.sends == maxSends:
			delete(o.pending, number)
		default:
			report.sends++
			report.sentAt = now
			due = append(due, report)
		}
	}
	isWaiting := len(o.pending) > 0
	o.mutex.Unlock()
	for _, report := range due {
		o.send(report)
	}
	return isWaiting
}

// HandleReport keeps what another relay reports, and confirms it.
func (o *Origins) HandleReport(report *v1.StreamOriginReport, from string) {
	if name, record, lifetime, isValid := originFromWire(report.GetOrigin()); isValid {
		o.mutex.Lock()
		o.table.Put(o.config.Now(), name, record, lifetime)
		o.mutex.Unlock()
	}
	o.config.Socket.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_StreamOriginReceipt{StreamOriginReceipt: &v1.StreamOriginReceipt{
		Relay: report.GetRelay(), Number: report.GetNumber(),
	}}})
}

// HandleReceipt ends the repetition of a report.
func (o *Origins) HandleReceipt(receipt *v1.StreamOriginReceipt) {
	if receipt.GetRelay() != o.config.Incarnation {
		return
	}
	o.mutex.Lock()
	report := o.pending[receipt.GetNumber()]
	delete(o.pending, receipt.GetNumber())
	o.mutex.Unlock()
	if report != nil {
		report.recording.confirm()
	}
}
