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
		away := 7 * time.Hour // before the process began
		clock := NewWithSuspension(0, func() time.Duration { return away })
		require.Zero(t, clock.Now())
		time.Sleep(time.Second)
		require.Equal(t, time.Second, clock.Now())
		away += 5 * time.Second
		require.Equal(t, 6*time.Second, clock.Now())
		require.Equal(t, 5*time.Second, clock.SuspendedTime())
		time.Sleep(time.Second)
		require.Equal(t, 7*time.Second, clock.Now())
		require.Equal(t, 3*time.Second, time.Until(clock.TimerDeadline(10*time.Second)), "timers count from now on")
	})
}

// Readings of two clocks differ by what lies between them. That is no suspension, and time never goes
// back over it.
func TestJitterIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Int64
		clock := NewWithSuspension(0, func() time.Duration { return time.Duration(away.Load()) })
		for _, jitter := range []time.Duration{time.Microsecond, leastSuspension - 1, 0, -time.Millisecond, -time.Hour} {
			away.Store(int64(jitter))
			require.Zero(t, clock.Now())
		}
	})
}

func TestTimeNeverGoesBack(t *testing.T) {
	var away atomic.Int64
	clock := NewWithSuspension(0, func() time.Duration { return time.Duration(away.Load()) })
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			last := time.Duration(0)
			for range 2000 {
				now := clock.Now()
				require.GreaterOrEqual(t, now, last)
				last = now
				away.Add(int64(leastSuspension / 8))
			}
		})
	}
	running.Wait()
}

func TestTheMachinesClocksCanBeRead(t *testing.T) {
	clock := New(0)
	first := clock.Now()
	require.GreaterOrEqual(t, clock.Now(), first)
	require.Greater(t, suspended(), -time.Hour, "it tells too little by what lies between its readings")
}

// A clock that looks now and then knows of a suspension soon after it.
func TestASuspensionCountsWithTheNextLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away, looks := time.Duration(0), 0
		clock := NewWithSuspension(time.Millisecond, func() time.Duration { looks++; return away })
		time.Sleep(time.Second)
		require.Equal(t, time.Second, clock.Now())
		away = 5 * time.Second
		require.Equal(t, time.Second, clock.Now())
		require.Equal(t, originReadings+1, looks)
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

func TestWatchTellsOfEachSuspensionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Int64
		clock := NewWithSuspension(0, func() time.Duration { return time.Duration(away.Load()) })
		var told []time.Duration
		ctx, cancel := context.WithCancel(t.Context())
		go clock.Watch(ctx, func(suspended time.Duration) { told = append(told, suspended) })
		time.Sleep(time.Second)
		away.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		away.Add(int64(2 * time.Second))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []time.Duration{5 * time.Second, 2 * time.Second}, told)
	})
}

// A process that stands still between the readings of the two clocks, as one whose share of a core is spent
// does, sees no suspension; nor does it where that happens to the first readings.
func TestAPauseBetweenTheReadingsIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var boot, pause time.Duration
		read := func(clock int32, now *unix.Timespec) error {
			*now = unix.NsecToTimespec(int64(boot))
			boot += pause // the process is stopped after each reading
			return nil
		}
		readings := 0
		clock := NewWithSuspension(0, func() time.Duration {
			pause = 0
			if readings++; readings%2 == 1 {
				pause = 90 * time.Millisecond
			}
			return difference(unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC, read)
		})
		for range 100 {
			require.Zero(t, clock.Now())
		}
	})
}
