package usage

import (
	"maps"
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Snapshot returns the ledger as a record, nil before the first closing and the first report. Equal ledgers
// return equal records.
func (l *Ledger) Snapshot() *v1.UsageLedger {
	if l.next == 0 && len(l.relays) == 0 {
		return nil
	}
	record := &v1.UsageLedger{Next: int64(l.next)}
	for _, window := range slices.Sorted(maps.Keys(l.open)) {
		record.Open = append(record.Open, l.open[window].toMessages(window)...)
	}
	for _, closed := range l.closed {
		record.Closed = append(record.Closed, &v1.ClosedUsage{Window: int64(closed.Window), Counts: closed.Counts.toMessages(closed.Window)})
	}
	for _, relay := range slices.Sorted(maps.Keys(l.relays)) {
		state := l.relays[relay]
		record.Relays = append(record.Relays, &v1.UsageRelay{Relay: relay, Sequence: state.sequence, HeardIn: int64(state.lastReportWindow)})
	}
	return record
}

// Restore returns the Ledger that was stored by Snapshot.
func Restore(record *v1.UsageLedger) *Ledger {
	ledger := NewLedger()
	ledger.next = Window(record.GetNext())
	for _, count := range record.GetOpen() {
		window := Window(count.GetWindow())
		if ledger.open[window] == nil {
			ledger.open[window] = Counts{}
		}
		ledger.open[window][count.GetTenant()] = count.GetCount()
	}
	for _, closed := range record.GetClosed() {
		counts := Counts{}
		for _, count := range closed.GetCounts() {
			counts[count.GetTenant()] = count.GetCount()
		}
		ledger.closed = append(ledger.closed, ClosedWindow{Window: Window(closed.GetWindow()), Counts: counts})
	}
	for _, relay := range record.GetRelays() {
		ledger.relays[relay.GetRelay()] = relayState{sequence: relay.GetSequence(), lastReportWindow: Window(relay.GetHeardIn())}
	}
	return ledger
}

// toMessages returns the counts as messages, sorted by tenant.
func (c Counts) toMessages(window Window) []*v1.UsageCount {
	counts := make([]*v1.UsageCount, 0, len(c))
	for _, tenant := range slices.Sorted(maps.Keys(c)) {
		counts = append(counts, &v1.UsageCount{Window: int64(window), Tenant: tenant, Count: c[tenant]})
	}
	return counts
}
