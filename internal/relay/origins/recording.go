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
	// confirmed is closed once another relay keeps the record, or if there is no other relay; quorumConfirmed once a quorum does.
	confirmed, quorumConfirmed chan struct{}

	mutex sync.Mutex
	// confirmations counts the other relays that keep the record, of which quorum are enough to outvote the rest.
	confirmations, quorum int
}

// newRecording returns a record that the keepers of a stream are to keep.
func newRecording(keepers keepers) *Recording {
	recording := &Recording{confirmed: make(chan struct{}), quorumConfirmed: make(chan struct{}), quorum: keepers.quorum()}
	if len(keepers.others) == 0 {
		close(recording.confirmed)
		close(recording.quorumConfirmed)
	}
	return recording
}

// confirm records that another relay keeps the record.
func (r *Recording) confirm() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.confirmations++
	if r.confirmations == 1 {
		close(r.confirmed)
	}
	if r.confirmations == r.quorum {
		close(r.quorumConfirmed)
	}
}

// Await blocks until another relay keeps the record, until the limit, or until stop is closed. It reports whether one does.
func (r *Recording) Await(limit time.Duration, stop <-chan struct{}) bool {
	return awaitClosed(r.confirmed, limit, stop)
}

// AwaitQuorum does what Await does, for a majority of the relays that keep the record.
func (r *Recording) AwaitQuorum(limit time.Duration, stop <-chan struct{}) bool {
	return awaitClosed(r.quorumConfirmed, limit, stop)
}

func awaitClosed(closed <-chan struct{}, limit time.Duration, stop <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
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
	keepers := o.keepersOf(name)
	recording := newRecording(keepers)
	o.mutex.Lock()
	o.table.Put(o.config.Now(), name, record, lifetime)
	o.table.MarkOwn(name)
	reports := make([]*pendingReport, 0, len(keepers.others))
	for _, owner := range keepers.others {
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

// Run sends reports without a receipt again, until the context ends.
func (o *Origins) Run(ctx context.Context) {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
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
