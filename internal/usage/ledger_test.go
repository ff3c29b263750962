package usage

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// newReport returns a relay's report.
func newReport(relay, sequence uint64, counts ...*v1.UsageCount) *v1.UsageReport {
	return &v1.UsageReport{Relay: relay, Sequence: sequence, Counts: counts}
}

func newCount(window Window, tenant string, requests uint64) *v1.UsageCount {
	return &v1.UsageCount{Window: int64(window), Tenant: tenant, Count: requests}
}

func TestRepeatedReportsCountOnce(t *testing.T) {
	ledger := NewLedger()
	ledger.CloseThrough(9)
	for range 3 {
		ledger.RecordReport(newReport(1, 1, newCount(10, "a", 2), newCount(10, "b", 1)))
	}
	ledger.RecordReport(newReport(2, 1, newCount(10, "a", 5)))
	ledger.RecordReport(newReport(1, 2, newCount(10, "a", 1)))
	ledger.RecordReport(newReport(1, 1, newCount(10, "a", 100)))
	require.True(t, ledger.HasReport(newReport(1, 2)))
	require.False(t, ledger.HasReport(newReport(1, 3)))
	require.False(t, ledger.HasReport(newReport(3, 1)))
	ledger.CloseThrough(10)
	require.Equal(t, []ClosedWindow{{Window: 10, Counts: Counts{"a": 8, "b": 1}}}, ledger.UnsettledWindows())
}

func TestClosedWindowsNeverChange(t *testing.T) {
	ledger := NewLedger()
	ledger.CloseThrough(9)
	ledger.RecordReport(newReport(1, 1, newCount(10, "a", 2), newCount(11, "a", 7)))
	ledger.CloseThrough(10)
	ledger.RecordReport(newReport(1, 2, newCount(10, "a", 5), newCount(9, "a", 5), newCount(11, "a", 1)))
	ledger.CloseThrough(10)
	ledger.CloseThrough(4)
	require.Equal(t, Window(11), ledger.NextOpenWindow())
	ledger.CloseThrough(12)
	require.Equal(t, []ClosedWindow{{10, Counts{"a": 2}}, {11, Counts{"a": 8}}, {12, Counts{}}}, ledger.UnsettledWindows())
	ledger.Settle(11)
	ledger.Settle(11)
	require.Equal(t, []ClosedWindow{{10, Counts{"a": 2}}, {12, Counts{}}}, ledger.UnsettledWindows())
}

// The first closing only sets where windows begin: nothing was counted before.
func TestFirstClosingOnlySetsTheStart(t *testing.T) {
	ledger := NewLedger()
	ledger.CloseThrough(1000)
	require.Equal(t, Window(1001), ledger.NextOpenWindow())
	require.Empty(t, ledger.UnsettledWindows())
}

// Neither a long time without a leader nor a report with implausible windows makes the ledger grow.
func TestLedgerIsBounded(t *testing.T) {
	ledger := NewLedger()
	ledger.CloseThrough(9)
	ledger.RecordReport(newReport(1, 1, newCount(10, "a", 2), newCount(1<<40, "a", 1), newCount(-1, "a", 1), newCount(10, "", 1)))
	ledger.CloseThrough(1 << 30)
	require.Len(t, ledger.UnsettledWindows(), maximumUnsettled)
	require.Equal(t, Window(1<<30), ledger.UnsettledWindows()[maximumUnsettled-1].Window)
	require.Empty(t, ledger.open)
	require.Empty(t, ledger.relays, "a relay without reports for that long is removed")
}

func TestSnapshotRestoresLedger(t *testing.T) {
	require.Nil(t, NewLedger().Snapshot())
	ledger := NewLedger()
	ledger.CloseThrough(9)
	for relay := uint64(1); relay < 20; relay++ {
		ledger.RecordReport(newReport(relay, relay, newCount(10, fmt.Sprint("t", relay%7), relay), newCount(11, "a", 1)))
	}
	ledger.CloseThrough(10)
	record := ledger.Snapshot()
	restored := Restore(proto.CloneOf(record))
	require.Equal(t, ledger, restored)
	require.True(t, proto.Equal(record, restored.Snapshot()))
	require.True(t, restored.HasReport(newReport(19, 19)))
}
