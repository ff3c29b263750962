package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testConfig has windows of five seconds that are due ten seconds after their end.
var testConfig = Config{Window: 5 * time.Second, Due: 10 * time.Second}

// endOf returns the end of a window in milliseconds.
func endOf(window Window) int64 { return window.EndMs(testConfig.Window) }

func TestWindowsCloseAfterGracePeriod(t *testing.T) {
	reporter, ledger := NewReporter(testConfig), NewLedger()
	through, due := reporter.NextClosing(0, endOf(100)-1, ledger)
	require.True(t, due, "the first closing sets where windows begin")
	require.Equal(t, Window(99), through)
	ledger.CloseThrough(through)
	_, due = reporter.NextClosing(time.Second, endOf(100)+2999, ledger)
	require.False(t, due, "late reports may arrive")
	through, due = reporter.NextClosing(2*time.Second, endOf(100)+3000, ledger)
	require.True(t, due)
	require.Equal(t, Window(100), through)
	_, due = reporter.NextClosing(2*time.Second+closeRetryInterval-1, endOf(100)+3500, ledger)
	require.False(t, due, "the closing has just been proposed")
	_, due = reporter.NextClosing(2*time.Second+closeRetryInterval, endOf(100)+4000, ledger)
	require.True(t, due, "the proposal may have been lost")
	ledger.CloseThrough(100)
	_, due = reporter.NextClosing(9*time.Second, endOf(100)+4500, ledger)
	require.False(t, due)
}

// When the time decreases, as it may with a new leader, no window is closed or reopened.
func TestDecreasingTimeClosesNothing(t *testing.T) {
	reporter, ledger := NewReporter(testConfig), NewLedger()
	ledger.CloseThrough(100)
	_, due := reporter.NextClosing(0, endOf(90), ledger)
	require.False(t, due)
}

func TestTimelyWindowsAreReportedFirst(t *testing.T) {
	reporter, ledger := NewReporter(testConfig), NewLedger()
	ledger.CloseThrough(99)
	ledger.CloseThrough(104)
	now := endOf(101) + testConfig.Due.Milliseconds() + 1 // 100 and 101 are late
	for _, want := range []Window{102, 103, 104, 101, 100} {
		closed, due := reporter.NextReport(now, ledger)
		require.True(t, due)
		require.Equal(t, want, closed.Window)
		require.Equal(t, want <= 101, reporter.IsOverdue(want, now))
		reporter.MarkDelivered(want)
	}
	_, due := reporter.NextReport(now, ledger)
	require.False(t, due, "delivered windows wait to be settled")
	require.Len(t, ledger.UnsettledWindows(), 5)
	_, due = NewReporter(testConfig).NextReport(now, ledger)
	require.True(t, due, "a new leader reports unsettled windows again")
}

func TestDisabledUsageClosesNothing(t *testing.T) {
	_, due := NewReporter(Config{}).NextClosing(0, 1<<40, NewLedger())
	require.False(t, due)
}
