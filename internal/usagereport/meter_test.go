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
	// start is the true time at the origin of the steady clock, in milliseconds: a window begins.
	start  = int64(1_790_000_000_000)
	window = 5 * time.Second
	first  = start / 5000
)

// counts are those of a report by window, from the first, and tenant.
func counts(report *v1.UsageReport) map[int64]map[string]uint64 {
	sums := map[int64]map[string]uint64{}
	for _, count := range report.GetCounts() {
		if sums[count.GetWindow()-first] == nil {
			sums[count.GetWindow()-first] = map[string]uint64{}
		}
		sums[count.GetWindow()-first][count.GetTenant()] += count.GetCount()
	}
	return sums
}

func TestRequestsCountInTheWindowInWhichTheyBegan(t *testing.T) {
	meter := NewMeter(7)
	meter.CountRequest(time.Second, "early")
	meter.UpdateTime(2*time.Second, start+2000, window)
	meter.CountRequest(window-time.Millisecond, "a")
	meter.CountRequest(window, "a")
	meter.CountRequest(window, "b")
	report := meter.NextReport()
	require.Equal(t, map[int64]map[string]uint64{0: {"early": 1, "a": 1}, 1: {"a": 1, "b": 1}}, counts(report))
	require.Equal(t, uint64(7), report.GetRelay())
	require.Equal(t, uint64(1), report.GetSequence())
}

// A report that was not taken is sent again as it was; what began since goes into the next one.
func TestAReportIsTheSameUntilItIsTaken(t *testing.T) {
	meter := NewMeter(7)
	meter.UpdateTime(0, start, window)
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

// The leader's word is late by as long as it was under way: the fastest one holds, until it is old.
func TestTheFastestWordOfTheTimeHolds(t *testing.T) {
	time := trueTime{}
	time.hear(1000e6, start+400)
	time.hear(2000e6, start+1990)
	time.hear(3000e6, start+2500)
	require.Equal(t, start+3990, time.at(4000e6))
	time.hear(23000e6, start+22900)
	require.Equal(t, start+23900, time.at(24000e6))
	time.hear(24000e6, 0)
	require.Equal(t, start+23900, time.at(24000e6), "a leader that knows none tells nothing")
}

func TestNobodyWantsToKnow(t *testing.T) {
	meter := NewMeter(7)
	meter.CountRequest(0, "a")
	meter.UpdateTime(0, start, 0)
	meter.CountRequest(0, "a")
	meter.UpdateTime(0, start, 0)
	require.Zero(t, meter.UnreportedCount())
	require.Nil(t, meter.NextReport())
}

// What is counted while nobody can be reached is reported once, whole, when somebody can.
func TestReporterSendsEverythingOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		meter := NewMeter(7)
		meter.UpdateTime(0, start, window)
		reachable, failed := false, 0
		taken := map[uint64]bool{}
		sum := uint64(0)
		reporter := &Reporter{
			Meter: meter, RelayCount: func() int { return 60 }, OnFailure: func() { failed++ },
			Send: func(_ context.Context, report *v1.UsageReport) error {
				lost := len(taken)%2 == 0 && !taken[report.GetSequence()] // the answer to every other report is lost
				if !reachable {
					return errors.New("no leader")
				}
				if !taken[report.GetSequence()] {
					taken[report.GetSequence()] = true
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
		require.LessOrEqual(t, len(taken), 3, "what is counted meanwhile goes together")
	})
}
