package usage

import (
	"maps"
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// windowsAhead is how far past the first open window a report may count: true time is the
	// controllers' own, so that more can only be an error.
	windowsAhead = 64
	// windowsKept bounds the closed windows that have not been settled; the oldest give way.
	windowsKept = 64
	// relayMemory is for how many windows a relay that is silent is remembered. A report is sent
	// again for less long.
	relayMemory = 64
)

// Counts are requests by tenant.
type Counts map[string]uint64

// ClosedWindow is a window whose counts never change.
type ClosedWindow struct {
	Window Window
	Counts Counts
}

// Ledger is what is agreed on of the tenants' usage.
type Ledger struct {
	// next is the first open window; 0 before the first.
	next   Window
	open   map[Window]Counts
	closed []ClosedWindow
	relays map[uint64]relayMark
}

// relayMark is what is remembered of a relay's start.
type relayMark struct {
	// sequence is the number of its last report that was taken.
	sequence uint64
	// heardIn is the first window that was open then.
	heardIn Window
}

// NewLedger returns the ledger before the first window.
func NewLedger() *Ledger {
	return &Ledger{open: map[Window]Counts{}, relays: map[uint64]relayMark{}}
}

// NextOpenWindow returns the first open window; 0 before the first.
func (l *Ledger) NextOpenWindow() Window { return l.next }

// UnsettledWindows returns the closed windows that have not been settled, oldest first. They must not be
// changed.
func (l *Ledger) UnsettledWindows() []ClosedWindow { return l.closed }

// HasReport reports whether a relay's report was taken already.
func (l *Ledger) HasReport(report *v1.UsageReport) bool {
	return report.GetSequence() <= l.relays[report.GetRelay()].sequence
}

// RecordReport adds a report to the open windows, once however often it comes. What it counts in windows
// that are closed comes too late.
func (l *Ledger) RecordReport(report *v1.UsageReport) {
	if l.HasReport(report) {
		return
	}
	l.relays[report.GetRelay()] = relayMark{sequence: report.GetSequence(), heardIn: l.next}
	for _, count := range report.GetCounts() {
		window := Window(count.GetWindow())
		if window < l.next || window > l.next+windowsAhead || count.GetTenant() == "" {
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

// CloseThrough fixes the counts of all open windows up to one. The first closing ever only tells
// where the windows begin.
func (l *Ledger) CloseThrough(through Window) {
	if through < l.next {
		return
	}
	if l.next == 0 {
		l.next = through + 1
		l.dropBefore(l.next)
		return
	}
	for window := max(l.next, through-windowsKept+1); window <= through; window++ {
		counts := l.open[window]
		if counts == nil {
			counts = Counts{}
		}
		l.closed = append(l.closed, ClosedWindow{Window: window, Counts: counts})
	}
	l.closed = l.closed[max(len(l.closed)-windowsKept, 0):]
	l.next = through + 1
	l.dropBefore(l.next)
	maps.DeleteFunc(l.relays, func(_ uint64, mark relayMark) bool { return mark.heardIn+relayMemory < l.next })
}

// dropBefore forgets the open counts of windows before one.
func (l *Ledger) dropBefore(next Window) {
	maps.DeleteFunc(l.open, func(window Window, _ Counts) bool { return window < next })
}

// Settle ends the work on a closed window.
func (l *Ledger) Settle(window Window) {
	l.closed = slices.DeleteFunc(l.closed, func(closed ClosedWindow) bool { return closed.Window == window })
}
