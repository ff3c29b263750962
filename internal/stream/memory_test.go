package stream

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

// newTestScanner returns a scanner with memory for its longest event.
func newTestScanner(source io.Reader) *Scanner {
	return NewScanner(source, bodybudget.New(copiesOfEvent*reserveFactor*maximumEventBytes).NewReservation())
}

// Guards against long events of many streams that together take more memory than is set aside, and against memory that is kept for an
// event that was passed on.
func TestLongEventsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := `data: {"exchange":"e","offset":1,"choices":[{"delta":{"content":"` + strings.Repeat("x", 4*bodybudget.FreeBytes) + `"}}]}` + "\n\n"
		size := copiesOfEvent * reserveFactor * len(long)
		budget := bodybudget.New(int64(size))
		other := budget.NewReservation()
		require.NoError(t, other.Grow(size))
		_, err := NewScanner(strings.NewReader(long), budget.NewReservation()).Next()
		require.ErrorIs(t, err, bodybudget.ErrExhausted)
		other.Release()
		for range 10 { // one after the other, since each is released with the next read
			scanner := NewScanner(strings.NewReader(long+long), budget.NewReservation())
			for range 2 {
				event, err := scanner.Next()
				require.NoError(t, err)
				require.Len(t, event.Text, 4*bodybudget.FreeBytes)
			}
			_, err = scanner.Next()
			require.ErrorIs(t, err, io.EOF)
		}
	})
}
