package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two requests that count on the same retry, and against reserved retries that are lost when unused.
func TestReservedRetryIsTakenUntilItIsReturned(t *testing.T) {
	budget := New(0, 10*time.Second, 2/SlackShare)
	budget.SetRelays(1)
	first := budget.Reserve(time.Second, "service")
	require.NotNil(t, first)
	require.NotNil(t, budget.Reserve(2*time.Second, "service"))
	require.Nil(t, budget.Reserve(2*time.Second, "service"), "two retries are allowed")
	require.False(t, budget.TrySpend(2*time.Second, "service"))
	first.Return(3 * time.Second)
	first.Return(3 * time.Second)
	require.True(t, budget.TrySpend(3*time.Second, "service"))
	require.False(t, budget.TrySpend(3*time.Second, "service"), "a reservation is returned once")
}

// Guards against a return that removes another retry: one that is counted in a bucket that has left the window, or since
// the counts were reset.
func TestLateReturnFreesNoOtherRetry(t *testing.T) {
	budget := New(0, 10*time.Second, 1/SlackShare)
	budget.SetRelays(1)
	left := budget.Reserve(time.Second, "service")
	require.True(t, budget.TrySpend(20*time.Second, "service"))
	left.Return(20 * time.Second)
	require.False(t, budget.CanSpend(20*time.Second, "service"))

	reset := budget.Reserve(40*time.Second, "service")
	budget.SetBounds(0, 5*time.Second, 1/SlackShare)
	require.True(t, budget.TrySpend(40*time.Second, "service"))
	reset.Return(40 * time.Second)
	require.False(t, budget.CanSpend(40*time.Second, "service"))
}

// For any order of reservations and returns, the retries that were neither returned nor have left the window stay within
// the slack.
func TestReservationsKeepTheRetryBudget(t *testing.T) {
	const window, slack = 10 * time.Second, 5
	rapid.Check(t, func(t *rapid.T) {
		budget := New(0, window, slack/SlackShare)
		budget.SetRelays(1)
		held := map[*Reservation]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "reserves") {
				if reservation := budget.Reserve(now, "service"); reservation != nil {
					held[reservation] = now
				}
			} else {
				for reservation := range held {
					reservation.Return(now)
					delete(held, reservation)
					break
				}
			}
			inWindow := 0
			for _, at := range held {
				if now-at <= window {
					inWindow++
				}
			}
			require.LessOrEqual(t, inWindow, slack)
		}
	})
}
