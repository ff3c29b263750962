package usagereport

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// startMs is the true time at the origin of the monotonic clock, in milliseconds. A window begins there.
	startMs     = int64(1_790_000_000_000)
	window      = 5 * time.Second
	firstWindow = startMs / 5000
)

// counts returns the counts of a report by window, relative to the first one, and tenant.
func counts(report *v1.UsageReport) map[int64]map[string]uint64 {
	sums := map[int64]map[string]uint64{}
	for _, count := range report.GetCounts() {
		if sums[count.GetWindow()-firstWindow] == nil {
			sums[count.GetWindow()-firstWindow] = map[string]uint64{}
		}
		sums[count.GetWindow()-firstWindow][count.GetTenant()] += count.GetCount()
	}
	return sums
}

func TestRequestsCountInTheirStartWindow(t *testing.T) {
	meter := NewMeter(7)
	meter.CountRequest(time.Second, "early")
	meter.UpdateTime(2*time.Second, startMs+2000, window)
	meter.CountRequest(window-time.Millisecond, "a")
	meter.CountRequest(window, "a")
	meter.CountRequest(window, "b")
	report := meter.NextReport()
	require.Equal(t, map[int64]map[string]uint64{0: {"early": 1, "a": 1}, 1: {"a": 1, "b": 1}}, counts(report))
	require.Equal(t, uint64(7), report.GetRelay())
	require.Equal(t, uint64(1), report.GetSequence())
}

// An unacknowledged report is sent again unchanged; requests that started since go into the next one.
func TestReportIsUnchangedUntilAcknowledged(t *testing.T) {
	meter := NewMeter(7)
	meter.UpdateTime(0, startMs, window)
	require.Nil(t, meter.NextReport())
	meter.CountRequest(0, "a")
	report := proto.CloneOf(meter.NextReport())
	meter.CountRequest(0, "a")
	require.True(t, proto.Equal(report, meter.NextReport()))
	require.Equal(t, uint64(2), meter.UnreportedCount())
	meter.AcknowledgeReport()
	require.Equal(t, uint64(2), meter.NextReport().GetSequence())
	meter.AcknowledgeReport()
	require.Nil(t, meter.NextReport())
	require.Zero(t, meter.UnreportedCount())
}

// Time messages are late by their network latency: the fastest one applies until it is too old.
func TestFastestTimeUpdateWins(t *testing.T) {
	time := trueTime{}
	time.update(1000e6, startMs+400)
	time.update(2000e6, startMs+1990)
	time.update(3000e6, startMs+2500)
	require.Equal(t, startMs+3990, time.at(4000e6))
	time.update(23000e6, startMs+22900)
	require.Equal(t, startMs+23900, time.at(24000e6))
	time.update(24000e6, 0)
	require.Equal(t, startMs+23900, time.at(24000e6), "a leader without the time does not change it")
}

func TestDisabledUsageCountsNothing(t *testing.T) {
	meter := NewMeter(7)
	meter.CountRequest(0, "a")
	meter.UpdateTime(0, startMs, 0)
	meter.CountRequest(0, "a")
	meter.UpdateTime(0, startMs, 0)
	require.Zero(t, meter.UnreportedCount())
	require.Nil(t, meter.NextReport())
}

// Requests counted while the leader is unreachable are reported completely and once when it is reachable again.
func TestReporterSendsEverythingOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		meter := NewMeter(7)
		meter.UpdateTime(0, startMs, window)
		reachable, failed := false, 0
		received := map[uint64]bool{}
		sum := uint64(0)
		reporter := &Reporter{
			Meter: meter, RelayCount: func() int { return 60 }, OnFailure: func() { failed++ },
			Send: func(_ context.Context, report *v1.UsageReport) error {
				lost := len(received)%2 == 0 && !received[report.GetSequence()] // the response to every other report is lost
				if !reachable {
					return errors.New("no leader")
				}
				if !received[report.GetSequence()] {
					received[report.GetSequence()] = true
					for _, count := range report.GetCounts() {
						sum += count.GetCount()
					}
				}
				if lost {
					return errors.New("the answer was lost")
				}
				return nil
			},
		}
		go reporter.Run(ctx)
		for index := range 100 {
			meter.CountRequest(time.Duration(index), "a")
			time.Sleep(10 * time.Millisecond)
		}
		reachable = true
		time.Sleep(time.Second)
		require.Zero(t, meter.UnreportedCount())
		require.Equal(t, uint64(100), sum)
		require.Positive(t, failed)
		require.LessOrEqual(t, len(received), 3, "requests counted in the meantime are reported together")
	})
}
