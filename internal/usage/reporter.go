package usage

import "time"

// Config sets how usage is counted and when it must be reported.
type Config struct {
	// Window is the length of the windows; 0 disables the counting of usage.
	Window time.Duration
	// Due is the time after the end of a window by which it must be reported.
	Due time.Duration
}

const (
	// graceShare is the fraction of Config.Due for which late reports of a window are awaited. The rest
	// is left for a change of leader and for calls that fail.
	graceShare = 0.3
	// closeRetryInterval is the wait before a closing that has not been committed is proposed again.
	closeRetryInterval = time.Second
)

// Reporter tracks the leader's work on usage: when windows close, and which one is reported next. Times
// named now are durations since an origin and must not decrease.
type Reporter struct {
	config Config
	// proposed is the last window up to which a closing was proposed, at proposedAt.
	proposed   Window
	proposedAt time.Duration
	// delivered are the windows that the platform has received and that are not settled yet.
	delivered map[Window]bool
}

// NewReporter returns the Reporter of a new leader.
func NewReporter(config Config) *Reporter {
	return &Reporter{config: config, delivered: map[Window]bool{}}
}

// NextClosing returns the window up to which a closing must be proposed now; due is false if no closing must be.
func (r *Reporter) NextClosing(now time.Duration, trueTimeMs int64, ledger *Ledger) (through Window, due bool) {
	if r.config.Window <= 0 {
		return 0, false
	}
	wait := time.Duration(graceShare * float64(r.config.Due))
	through = WindowAt(trueTimeMs-wait.Milliseconds(), r.config.Window) - 1
	if ledger.NextOpenWindow() == 0 {
		through = WindowAt(trueTimeMs, r.config.Window) - 1
	}
	if through < ledger.NextOpenWindow() || through <= r.proposed && now-r.proposedAt < closeRetryInterval {
		return 0, false
	}
	r.proposed, r.proposedAt = through, now
	return through, true
}

// NextReport returns the closed window to report next; due is false if there is none. Windows that are not yet
// overdue go first, oldest first, followed by the newest overdue one.
func (r *Reporter) NextReport(trueTimeMs int64, ledger *Ledger) (closed ClosedWindow, due bool) {
	var late ClosedWindow
	hasLate := false
	for _, closed := range ledger.UnsettledWindows() {
		if r.delivered[closed.Window] {
			continue
		}
		if !r.IsOverdue(closed.Window, trueTimeMs) {
			return closed, true
		}
		late, hasLate = closed, true
	}
	return late, hasLate
}

// IsOverdue reports whether a window was due before the given time.
func (r *Reporter) IsOverdue(window Window, trueTimeMs int64) bool {
	return trueTimeMs > window.EndMs(r.config.Window)+r.config.Due.Milliseconds()
}

// MarkDelivered records that the platform has received a window's counts.
func (r *Reporter) MarkDelivered(window Window) { r.delivered[window] = true }
