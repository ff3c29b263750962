package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// perWindow is a window of five seconds that is due ten seconds after its end.
var perWindow = Config{Window: 5 * time.Second, Due: 10 * time.Second}

// endOf is the time at which a window ends, in milliseconds.
func endOf(window Window) int64 { return window.EndMs(perWindow.Window) }

func TestWindowsCloseOnceLateReportsHaveHadTime(t *testing.T) {
	reporter, ledger := NewReporter(perWindow), NewLedger()
	through, due := reporter.NextClosing(0, endOf(100)-1, ledger)
	require.True(t, due, "the first closing tells where windows begin")
	require.Equal(t, Window(99), through)
	ledger.CloseThrough(through)
	_, due = reporter.NextClosing(time.Second, endOf(100)+2999, ledger)
	require.False(t, due, "late reports may come")
	through, due = reporter.NextClosing(2*time.Second, endOf(100)+3000, ledger)
	require.True(t, due)
	require.Equal(t, Window(100), through)
	_, due = reporter.NextClosing(2*time.Second+closeRetry-1, endOf(100)+3500, ledger)
	require.False(t, due, "it was proposed just now")
	_, due = reporter.NextClosing(2*time.Second+closeRetry, endOf(100)+4000, ledger)
	require.True(t, due, "it may have been lost")
	ledger.CloseThrough(100)
	_, due = reporter.NextClosing(9*time.Second, endOf(100)+4500, ledger)
	require.False(t, due)
}

// A time that goes back, as a new leader may have it, closes nothing and opens nothing again.
func TestATimeThatGoesBackClosesNothing(t *testing.T) {
	reporter, ledger := NewReporter(perWindow), NewLedger()
	ledger.CloseThrough(100)
	_, due := reporter.NextClosing(0, endOf(90), ledger)
	require.False(t, due)
}

func TestWindowsInTimeAreToldBeforeLateOnes(t *testing.T) {
	reporter, ledger := NewReporter(perWindow), NewLedger()
	ledger.CloseThrough(99)
	ledger.CloseThrough(104)
	now := endOf(101) + perWindow.Due.Milliseconds() + 1 // 100 and 101 are late
	for _, want := range []Window{102, 103, 104, 101, 100} {
		closed, due := reporter.NextReport(now, ledger)
		require.True(t, due)
		require.Equal(t, want, closed.Window)
		require.Equal(t, want <= 101, reporter.IsOverdue(want, now))
		reporter.MarkDelivered(want)
	}
	_, due := reporter.NextReport(now, ledger)
	require.False(t, due, "told windows wait to be settled")
	require.Len(t, ledger.UnsettledWindows(), 5)
	_, due = NewReporter(perWindow).NextReport(now, ledger)
	require.True(t, due, "a new leader tells again what is not settled")
}

func TestNobodyWantsToKnow(t *testing.T) {
	_, due := NewReporter(Config{}).NextClosing(0, 1<<40, NewLedger())
	require.False(t, due)
}
