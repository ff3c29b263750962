package bootclock

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := 7 * time.Hour // before the process started
		clock := NewWithSuspension(0, func() time.Duration { return suspended })
		require.Zero(t, clock.Now())
		time.Sleep(time.Second)
		require.Equal(t, time.Second, clock.Now())
		suspended += 5 * time.Second
		require.Equal(t, 6*time.Second, clock.Now())
		require.Equal(t, 5*time.Second, clock.SuspendedTime())
		time.Sleep(time.Second)
		require.Equal(t, 7*time.Second, clock.Now())
		require.Equal(t, 3*time.Second, time.Until(clock.TimerDeadline(10*time.Second)), "timers do not count the suspension")
	})
}

// Readings of two clocks differ by the time between them. That must not count as a suspension, and must
// not make the time go back.
func TestJitterIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		clock := NewWithSuspension(0, func() time.Duration { return time.Duration(suspended.Load()) })
		for _, jitter := range []time.Duration{time.Microsecond, minimumSuspension - 1, 0, -time.Millisecond, -time.Hour} {
			suspended.Store(int64(jitter))
			require.Zero(t, clock.Now())
		}
	})
}

func TestTimeNeverGoesBack(t *testing.T) {
	var suspended atomic.Int64
	clock := NewWithSuspension(0, func() time.Duration { return time.Duration(suspended.Load()) })
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			last := time.Duration(0)
			for range 2000 {
				now := clock.Now()
				require.GreaterOrEqual(t, now, last)
				last = now
				suspended.Add(int64(minimumSuspension / 8))
			}
		})
	}
	running.Wait()
}

func TestSystemClocksCanBeRead(t *testing.T) {
	clock := New(0)
	first := clock.Now()
	require.GreaterOrEqual(t, clock.Now(), first)
	require.Greater(t, readSuspendedTime(), -time.Hour, "the value may only be too low by the time between the readings")
}

// A clock with a check interval must include a suspension at the first check after it.
func TestSuspensionCountsWithNextCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended, checks := time.Duration(0), 0
		clock := NewWithSuspension(time.Millisecond, func() time.Duration { checks++; return suspended })
		time.Sleep(time.Second)
		require.Equal(t, time.Second, clock.Now())
		suspended = 5 * time.Second
		require.Equal(t, time.Second, clock.Now())
		require.Equal(t, originReadings+1, checks)
		time.Sleep(time.Millisecond)
		require.Equal(t, 6*time.Second+time.Millisecond, clock.Now())
	})
}

func BenchmarkNow(b *testing.B) {
	clock := New(0)
	for b.Loop() {
		clock.Now()
	}
}

func TestWatchReportsEachSuspensionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspendedTotal atomic.Int64
		clock := NewWithSuspension(0, func() time.Duration { return time.Duration(suspendedTotal.Load()) })
		var reported []time.Duration
		ctx, cancel := context.WithCancel(t.Context())
		go clock.Watch(ctx, func(suspended time.Duration) { reported = append(reported, suspended) })
		time.Sleep(time.Second)
		suspendedTotal.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		suspendedTotal.Add(int64(2 * time.Second))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []time.Duration{5 * time.Second, 2 * time.Second}, reported)
	})
}

// A process that is paused between the readings of the two clocks, for example because its CPU quota is
// used up, must see no suspension; nor must it when that happens during the first readings.
func TestPauseBetweenReadingsIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var boot, pause time.Duration
		read := func(clock int32, now *unix.Timespec) error {
			*now = unix.NsecToTimespec(int64(boot))
			boot += pause // the process is paused after each reading
			return nil
		}
		readings := 0
		clock := NewWithSuspension(0, func() time.Duration {
			pause = 0
			if readings++; readings%2 == 1 {
				pause = 90 * time.Millisecond
			}
			return clockDifference(unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC, read)
		})
		for range 100 {
			require.Zero(t, clock.Now())
		}
	})
}
