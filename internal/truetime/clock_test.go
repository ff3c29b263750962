package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the true time at steady time 0, in milliseconds.
const start = int64(1_790_000_000_000)

// trueAt returns the true time at a steady time, in milliseconds.
func trueAt(now time.Duration) int64 { return start + now.Milliseconds() }

func TestNoTimeIsAgreedWithoutAMajority(t *testing.T) {
	clock := New()
	_, agreed := clock.AgreedTime(0, 1)
	require.False(t, agreed, "without any reading")
	clock.AddReading(0, start)
	got, agreed := clock.AgreedTime(time.Second, 1)
	require.True(t, agreed)
	require.Equal(t, trueAt(time.Second), got)
	_, agreed = clock.AgreedTime(time.Second, 3)
	require.False(t, agreed)
	clock.AddPeerReading(time.Second, "b", trueAt(time.Second))
	_, agreed = clock.AgreedTime(time.Second, 3)
	require.True(t, agreed)
	_, agreed = clock.AgreedTime(time.Minute, 3)
	require.False(t, agreed, "the peer's reading is too old")
}

// A clock that jumps by seconds for a short time, here or at a minority of peers, must have no effect.
func TestJumpsAreNotFollowed(t *testing.T) {
	for name, row := range map[string]struct {
		local time.Duration
		peers []time.Duration
	}{
		"here":                 {local: 4 * time.Second, peers: []time.Duration{0, 0, 0, 0}},
		"at two peers":         {peers: []time.Duration{4 * time.Second, -4 * time.Second, 0, 0}},
		"here and at one peer": {local: -2 * time.Second, peers: []time.Duration{-2 * time.Second, 0, 0, 0}},
	} {
		clock := New()
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			jump := func(by time.Duration) int64 {
				if now > 10*time.Second && now < 18*time.Second {
					return trueAt(now) + by.Milliseconds()
				}
				return trueAt(now)
			}
			clock.AddReading(now, jump(row.local))
			for index, by := range row.peers {
				clock.AddPeerReading(now, string(rune('a'+index)), jump(by))
			}
			got, agreed := clock.AgreedTime(now, 5)
			require.True(t, agreed, name)
			require.InDelta(t, trueAt(now), got, 1, "%s at %v", name, now)
		}
	}
}

// Half of the controllers' clocks jump for a short time. The median of each controller's earlier
// readings must hide the jump.
func TestHalfOfAllClocksJump(t *testing.T) {
	clocks := []*Clock{New(), New(), New(), New()}
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		for index, clock := range clocks {
			reading := trueAt(now)
			if index < 2 && now >= 30*time.Second && now < 40*time.Second {
				reading += 4000
			}
			clock.AddReading(now, reading)
		}
		for index, clock := range clocks {
			for other, peer := range clocks {
				if other != index {
					clock.AddPeerReading(now, string(rune('a'+other)), peer.LocalTime(now))
				}
			}
			got, agreed := clock.AgreedTime(now, len(clocks))
			require.True(t, agreed)
			require.Equal(t, trueAt(now), got)
		}
	}
}

// A controller whose clock is wrong from its start must not change the agreed time.
func TestWrongClockAtStartIsOutvoted(t *testing.T) {
	clock := New()
	clock.AddReading(0, start+9000)
	clock.AddPeerReading(0, "b", start)
	clock.AddPeerReading(0, "c", start+3)
	got, agreed := clock.AgreedTime(0, 3)
	require.True(t, agreed)
	require.Equal(t, start+3, got)
}
