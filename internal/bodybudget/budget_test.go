package bodybudget

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const totalBytes = 10 * FreeBytes

// requireAllFree requires that nothing of the budget is reserved.
func requireAllFree(t *testing.T, budget *Budget) {
	t.Helper()
	require.True(t, budget.free.TryAcquire(budget.total))
	budget.free.Release(budget.total)
}

// Guards against bodies that are changed, cut or not bounded when they are read in steps.
func TestReadUpTo(t *testing.T) {
	for _, size := range []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, FreeBytes, FreeBytes + 1, 3 * FreeBytes, totalBytes, totalBytes + 1, 3 * totalBytes} {
		for _, limit := range []int{1, firstReadBytes, FreeBytes + 1, totalBytes + 1} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "error with data": iotest.DataErrReader} {
				t.Run(fmt.Sprintf("%d of %d, %s", size, limit, name), func(t *testing.T) {
					content := bytes.Repeat([]byte("0123456789abcdef-"), size/17+1)[:size]
					budget := New(totalBytes)
					reservation := budget.NewReservation()
					body, err := reservation.ReadUpTo(wrap(bytes.NewReader(content)), limit)
					require.NoError(t, err)
					require.Equal(t, string(content[:min(size, limit)]), string(body))
					reservation.Release()
					reservation.Release()
					requireAllFree(t, budget)
				})
			}
		}
	}
}

// Guards against a body that broke off and counts as whole.
func TestReadUpToReturnsErrors(t *testing.T) {
	for _, fault := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
		source := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(fault))
		_, err := New(totalBytes).NewReservation().ReadUpTo(source, totalBytes)
		require.ErrorIs(t, err, fault)
	}
}

// Guards against bodies that together exceed the budget, against short ones that wait, and against a wait without an end.
func TestLongBodiesWaitForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(totalBytes)
		first, second := budget.NewReservation(), budget.NewReservation()
		require.NoError(t, first.Grow(totalBytes-1))
		startedAt := time.Now()
		_, err := second.ReadLength(strings.NewReader(""), FreeBytes+1)
		require.ErrorIs(t, err, ErrExhausted)
		require.Equal(t, maxWait, time.Since(startedAt))
		require.NoError(t, second.Grow(FreeBytes), "a short body needs no reservation")
		time.AfterFunc(maxWait/2, first.Release)
		startedAt = time.Now()
		require.NoError(t, second.Grow(FreeBytes+1))
		require.Equal(t, maxWait/2, time.Since(startedAt))
		second.Release()
		requireAllFree(t, budget)
	})
}

// Guards against a body larger than the budget that can never be read.
func TestBodyLargerThanTheBudgetReservesAllOfIt(t *testing.T) {
	budget := New(totalBytes)
	reservation := budget.NewReservation()
	body, err := reservation.ReadLength(strings.NewReader(strings.Repeat("x", 2*totalBytes)), 2*totalBytes)
	require.NoError(t, err)
	require.Len(t, body, 2*totalBytes)
	require.False(t, budget.free.TryAcquire(1))
	reservation.Release()
	requireAllFree(t, budget)
}
