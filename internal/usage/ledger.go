package usage

import (
	"maps"
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// maximumWindowsAhead is how many windows past the first open one a report may count. True time is the
	// controllers' own time, so a larger value can only be an error.
	maximumWindowsAhead = 64
	// maximumUnsettled limits the closed windows that have not been settled. Beyond it the oldest are dropped.
	maximumUnsettled = 64
	// relayRetention is the number of windows after its last report for which a relay's state is stored. Relays retry
	// reports for a shorter time.
	relayRetention = 64
)

// Counts are the numbers of requests by tenant.
type Counts map[string]uint64

// ClosedWindow is a window whose counts no longer change.
type ClosedWindow struct {
	Window Window
	Counts Counts
}

// Ledger is the replicated record of the tenants' usage.
type Ledger struct {
	// next is the first open window; 0 before the first closing.
	next   Window
	open   map[Window]Counts
	closed []ClosedWindow
	relays map[uint64]relayState
}

// relayState is the stored state of one incarnation of a relay.
type relayState struct {
	// sequence is the number of its last recorded report.
	sequence uint64
	// lastReportWindow is the first window that was open when that report was recorded.
	lastReportWindow Window
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{open: map[Window]Counts{}, relays: map[uint64]relayState{}}
}

// NextOpenWindow returns the first open window; 0 before the first closing.
func (l *Ledger) NextOpenWindow() Window { return l.next }

// UnsettledWindows returns the closed windows whose counts have not been delivered and settled, oldest first. The caller
// must not modify them.
func (l *Ledger) UnsettledWindows() []ClosedWindow { return l.closed }

// HasReport reports whether a relay's report has already been recorded.
func (l *Ledger) HasReport(report *v1.UsageReport) bool {
	return report.GetSequence() <= l.relays[report.GetRelay()].sequence
}

// RecordReport adds a report to the open windows. Repeated reports count once. Counts for closed windows are
// ignored because they are too late.
func (l *Ledger) RecordReport(report *v1.UsageReport) {
	if l.HasReport(report) {
		return
	}
	l.relays[report.GetRelay()] = relayState{sequence: report.GetSequence(), lastReportWindow: l.next}
	for _, count := range report.GetCounts() {
		window := Window(count.GetWindow())
		if window < l.next || window > l.next+maximumWindowsAhead || count.GetTenant() == "" {
			continue
		}
		counts := l.open[window]
		if counts == nil {
			counts = Counts{}
			l.open[window] = counts
		}
		counts[count.GetTenant()] += count.GetCount()
	}
}

// CloseThrough fixes the counts of all open windows up to and including the given one. The very first closing only sets
// which window is the first open one.
func (l *Ledger) CloseThrough(through Window) {
	if through < l.next {
		return
	}
	if l.next == 0 {
		l.next = through + 1
		l.dropBefore(l.next)
		return
	}
	for window := max(l.next, through-maximumUnsettled+1); window <= through; window++ {
		counts := l.open[window]
		if counts == nil {
			counts = Counts{}
		}
		l.closed = append(l.closed, ClosedWindow{Window: window, Counts: counts})
	}
	l.closed = l.closed[max(len(l.closed)-maximumUnsettled, 0):]
	l.next = through + 1
	l.dropBefore(l.next)
	maps.DeleteFunc(l.relays, func(_ uint64, state relayState) bool { return state.lastReportWindow+relayRetention < l.next })
}

// dropBefore deletes the open counts of windows before the given one.
func (l *Ledger) dropBefore(next Window) {
	maps.DeleteFunc(l.open, func(window Window, _ Counts) bool { return window < next })
}

// Settle removes a closed window after its counts have been delivered.
func (l *Ledger) Settle(window Window) {
	l.closed = slices.DeleteFunc(l.closed, func(closed ClosedWindow) bool { return closed.Window == window })
}
