package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

// Guards against long events of many streams that together take more memory than is set aside, against short ones that need any, and
// against memory that is kept for an event that was forwarded.
func TestLongEventsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := "data: " + strings.Repeat("x", 2*bodybudget.FreeBytes) + "\n\n"
		budget := bodybudget.New(int64(2 * copiesOfEvent * reserveFactor * len(long)))
		other := budget.NewReservation()
		require.NoError(t, other.Grow(2*copiesOfEvent*reserveFactor*len(long)))
		const short = "id: 1\ndata: a\n\n"
		reader := NewReader(strings.NewReader(short+long), budget.NewReservation())
		event, err := reader.Next()
		require.NoError(t, err)
		require.Equal(t, short, string(event.Bytes))
		_, err = reader.Next()
		require.ErrorIs(t, err, bodybudget.ErrExhausted)
		other.Release()

		for range 10 { // one after the other, since each is released with the next read
			reader = NewReader(strings.NewReader(long+long+short), budget.NewReservation())
			for _, want := range []string{long, long, short} {
				event, err := reader.Next()
				require.NoError(t, err)
				require.Equal(t, want, string(event.Bytes))
			}
			_, err = reader.Next()
			require.True(t, errors.Is(err, io.EOF))
		}
	})
}
