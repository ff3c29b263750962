package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A reservation counts until the relay reports its work or until it expires.
func TestReservationsCountUntilReported(t *testing.T) {
	reserved := NewReservations()
	one, two := QueryID{Relay: 1, Number: 7}, QueryID{Relay: 2, Number: 7}
	reserved.Add(0, one, Reservation{Engine: 5, Work: PrefillWork(4000, 1)})
	reserved.Add(time.Millisecond, two, Reservation{Engine: 5, Work: Work{Streams: 1}, PendingBlocks: []BlockHash{9}})
	require.Equal(t, PrefillWork(4000, 1).Plus(Work{Streams: 1}), reserved.ReservedWork(5))

	released, found := reserved.Release(one)
	require.True(t, found)
	require.Equal(t, uint64(5), released.Engine)
	_, found = reserved.Release(one)
	require.False(t, found, "a repeated notice releases nothing")
	require.Equal(t, Work{Streams: 1}, reserved.ReservedWork(5))

	require.Empty(t, reserved.Expire(ReservationLifetime))
	expired := reserved.Expire(ReservationLifetime + time.Millisecond)
	require.Len(t, expired, 1)
	require.Equal(t, []BlockHash{9}, expired[0].PendingBlocks)
	require.Zero(t, reserved.ReservedWork(5))
}

// A query that is received twice reserves its work only once.
func TestRepeatedQueryReplacesReservation(t *testing.T) {
	reserved := NewReservations()
	query := QueryID{Relay: 1, Number: 1}
	reserved.Add(0, query, Reservation{Engine: 5, Work: Work{Streams: 1}})
	previous, replaced := reserved.Add(0, query, Reservation{Engine: 6, Work: Work{Streams: 1}})
	require.True(t, replaced)
	require.Equal(t, uint64(5), previous.Engine)
	require.Zero(t, reserved.ReservedWork(5))
	require.Equal(t, Work{Streams: 1}, reserved.ReservedWork(6))
}
