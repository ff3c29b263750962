package replacement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request that both attempts answer, or that neither does: of a silent attempt and its replacement, exactly one
// keeps the request, whatever the order of events.
func TestExactlyOneAttemptAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const none, current, replacement = 0, 1, 2
		contest := &Contest[int]{}
		require.True(t, contest.Start(replacement))
		isCurrentAnswering, isReplaced, hasFailed, isCancelled := false, false, false, false
		for _, event := range rapid.SliceOfN(rapid.SampledFrom([]string{"keep", "replace", "fail", "start"}), 1, 8).Draw(t, "events") {
			isOpen := !isCurrentAnswering && !isReplaced && !hasFailed
			switch event {
			case "keep":
				isKept, cancelled := contest.Keep(current)
				require.Equal(t, !isReplaced, isKept)
				require.Equal(t, isOpen, cancelled == replacement, "cancelled once, and only if it was still running")
				isCurrentAnswering, isCancelled = isKept, isCancelled || cancelled == replacement
			case "replace":
				require.Equal(t, isOpen, contest.Replace(replacement))
				isReplaced = isReplaced || isOpen
			case "fail":
				require.Equal(t, isOpen, contest.Fail(replacement))
				hasFailed = hasFailed || isOpen
			case "start":
				require.Equal(t, hasFailed || isCancelled, contest.Start(replacement+1))
				if hasFailed || isCancelled {
					require.Equal(t, replacement+1, contest.Take())
				}
			}
			require.Equal(t, isReplaced, contest.IsReplaced(current))
		}
		wasEnded := hasFailed || isCancelled
		require.Equal(t, wasEnded, len(contest.Ended()) == 1)
		require.Equal(t, len(contest.Ended()), len(contest.TakeEnded()))
		require.Empty(t, contest.Ended())
		if wasEnded {
			require.Equal(t, none, contest.Take())
			return
		}
		require.Equal(t, replacement, contest.Take())
		require.False(t, contest.HasReplacement())
	})
}

// Guards against a replacement that ends itself: its own bytes are no sign of the silent back end.
func TestReplacementDoesNotContestItself(t *testing.T) {
	contest := &Contest[string]{}
	contest.Start("replacement")
	isKept, cancelled := contest.Keep("replacement")
	require.True(t, isKept)
	require.Empty(t, cancelled)
	require.True(t, contest.Replace("replacement"))
	require.False(t, contest.IsReplaced("replacement"))
	require.True(t, contest.IsReplaced("current"))
}

// Guards against an answer that is given up although its replacement has failed a moment before, and against one that is waited for
// after the silent attempt has ended.
func TestTakenReplacementIsDecidedOnNoMore(t *testing.T) {
	contest := &Contest[string]{}
	contest.Start("replacement")
	require.Equal(t, "replacement", contest.Take())
	require.False(t, contest.Fail("replacement"))
	require.False(t, contest.Replace("replacement"))
	require.Empty(t, contest.Ended())
	require.True(t, contest.Start("next"))
	require.True(t, contest.Fail("next"))
	require.False(t, contest.Replace("next"))
	require.Equal(t, []string{"next"}, contest.TakeEnded())
}
