package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is assigned counts until its relay tells of it, or for so long.
func TestReservationsCountUntilTheyAreTold(t *testing.T) {
	reserved := NewReservations()
	one, two := QueryID{Relay: 1, Number: 7}, QueryID{Relay: 2, Number: 7}
	reserved.Add(0, one, Reservation{Engine: 5, Work: PrefillWork(4000, 1)})
	reserved.Add(time.Millisecond, two, Reservation{Engine: 5, Work: Work{Streams: 1}, PendingBlocks: []BlockHash{9}})
	require.Equal(t, PrefillWork(4000, 1).Plus(Work{Streams: 1}), reserved.ReservedWork(5))

	ended, had := reserved.Release(one)
	require.True(t, had)
	require.Equal(t, uint64(5), ended.Engine)
	_, had = reserved.Release(one)
	require.False(t, had, "a notice that comes twice")
	require.Equal(t, Work{Streams: 1}, reserved.ReservedWork(5))

	require.Empty(t, reserved.Expire(ReservationLifetime))
	expired := reserved.Expire(ReservationLifetime + time.Millisecond)
	require.Len(t, expired, 1)
	require.Equal(t, []BlockHash{9}, expired[0].PendingBlocks)
	require.Zero(t, reserved.ReservedWork(5))
}

// A question that comes twice counts once.
func TestReservationOfTheSameQuestion(t *testing.T) {
	reserved := NewReservations()
	asker := QueryID{Relay: 1, Number: 1}
	reserved.Add(0, asker, Reservation{Engine: 5, Work: Work{Streams: 1}})
	former, had := reserved.Add(0, asker, Reservation{Engine: 6, Work: Work{Streams: 1}})
	require.True(t, had)
	require.Equal(t, uint64(5), former.Engine)
	require.Zero(t, reserved.ReservedWork(5))
	require.Equal(t, Work{Streams: 1}, reserved.ReservedWork(6))
}
