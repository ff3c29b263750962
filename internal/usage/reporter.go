package usage

import "time"

// Config tells how usage is counted and by when it is due.
type Config struct {
	// Window is the length of the windows; 0 means that usage is not counted.
	Window time.Duration
	// Due is how long after its end a window has to be reported.
	Due time.Duration
}

const (
	// settleShare is the part of the time until a window is due for which its late reports are
	// waited for; the rest is left for a change of leaders and for calls that fail.
	settleShare = 0.3
	// closeRetry is the wait before a closing that is not agreed on yet is proposed again.
	closeRetry = time.Second
)

// Reporter keeps what the leader does for usage: when windows close, and which is reported next. Steady
// times are durations since an origin that never go back.
type Reporter struct {
	config Config
	// proposed is the window up to which closing was proposed last, at proposedAt.
	proposed   Window
	proposedAt time.Duration
	// delivered are windows that the platform has taken and that are not settled yet.
	delivered map[Window]bool
}

// NewReporter returns the reporter of a leader that begins.
func NewReporter(config Config) *Reporter {
	return &Reporter{config: config, delivered: map[Window]bool{}}
}

// NextClosing returns the window up to which closing is to be proposed now; false for none.
func (r *Reporter) NextClosing(now time.Duration, trueTimeMs int64, ledger *Ledger) (through Window, due bool) {
	if r.config.Window <= 0 {
		return 0, false
	}
	wait := time.Duration(settleShare * float64(r.config.Due))
	through = WindowAt(trueTimeMs-wait.Milliseconds(), r.config.Window) - 1
	if ledger.NextOpenWindow() == 0 {
		through = WindowAt(trueTimeMs, r.config.Window) - 1
	}
	if through < ledger.NextOpenWindow() || through <= r.proposed && now-r.proposedAt < closeRetry {
		return 0, false
	}
	r.proposed, r.proposedAt = through, now
	return through, true
}

// NextReport returns the window that is to be reported next; false for none. Windows that can still be in
// time go first, then the newest.
func (r *Reporter) NextReport(trueTimeMs int64, ledger *Ledger) (closed ClosedWindow, due bool) {
	var late ClosedWindow
	found := false
	for _, closed := range ledger.UnsettledWindows() {
		if r.delivered[closed.Window] {
			continue
		}
		if !r.IsOverdue(closed.Window, trueTimeMs) {
			return closed, true
		}
		late, found = closed, true
	}
	return late, found
}

// IsOverdue reports whether a window was due before a time.
func (r *Reporter) IsOverdue(window Window, trueTimeMs int64) bool {
	return trueTimeMs > window.EndMs(r.config.Window)+r.config.Due.Milliseconds()
}

// MarkDelivered notes that the platform has taken a window's counts.
func (r *Reporter) MarkDelivered(window Window) { r.delivered[window] = true }
