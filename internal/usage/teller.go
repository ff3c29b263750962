package usage

import "time"

// Config tells how usage is counted and by when it is due.
type Config struct {
	// Window is the length of the windows; 0 means that usage is not counted.
	Window time.Duration
	// Due is how long after its end a window has to be told.
	Due time.Duration
}

const (
	// settleShare is the part of the time until a window is due for which its late reports are
	// waited for; the rest is left for a change of leaders and for calls that fail.
	settleShare = 0.3
	// closeRetry is the wait before a closing that is not agreed on yet is proposed again.
	closeRetry = time.Second
)

// Teller keeps what the leader does for usage: when windows close, and which is told next. Steady
// times are durations since an origin that never go back.
type Teller struct {
	config Config
	// proposed is the window up to which closing was proposed last, at proposedAt.
	proposed   Window
	proposedAt time.Duration
	// told are windows that the platform has taken and that are not settled yet.
	told map[Window]bool
}

// NewTeller returns the teller of a leader that begins.
func NewTeller(config Config) *Teller { return &Teller{config: config, told: map[Window]bool{}} }

// Closing returns the window up to which closing is to be proposed now; false for none.
func (t *Teller) Closing(now time.Duration, trueTimeMs int64, ledger *Ledger) (through Window, due bool) {
	if t.config.Window <= 0 {
		return 0, false
	}
	wait := time.Duration(settleShare * float64(t.config.Due))
	through = WindowAt(trueTimeMs-wait.Milliseconds(), t.config.Window) - 1
	if ledger.Next() == 0 {
		through = WindowAt(trueTimeMs, t.config.Window) - 1
	}
	if through < ledger.Next() || through <= t.proposed && now-t.proposedAt < closeRetry {
		return 0, false
	}
	t.proposed, t.proposedAt = through, now
	return through, true
}

// Telling returns the window that is to be told next; false for none. Windows that can still be in
// time go first, then the newest.
func (t *Teller) Telling(trueTimeMs int64, ledger *Ledger) (closed Closed, due bool) {
	var late Closed
	found := false
	for _, closed := range ledger.Unsettled() {
		if t.told[closed.Window] {
			continue
		}
		if !t.Late(closed.Window, trueTimeMs) {
			return closed, true
		}
		late, found = closed, true
	}
	return late, found
}

// Late reports whether a window was due before a time.
func (t *Teller) Late(window Window, trueTimeMs int64) bool {
	return trueTimeMs > window.EndMs(t.config.Window)+t.config.Due.Milliseconds()
}

// Told notes that the platform has taken a window's counts.
func (t *Teller) Told(window Window) { t.told[window] = true }
