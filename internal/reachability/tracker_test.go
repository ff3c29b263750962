package reachability

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fail records failures of the given back ends, a millisecond apart, and reports whether the last one lost the path.
func fail(tracker *Tracker, at time.Duration, timedOut bool, listed int, backEnds ...uint64) bool {
	isLost := false
	for index, backEnd := range backEnds {
		isLost = tracker.RecordFailed(at+time.Duration(index)*time.Millisecond, Failure{Service: "s", BackEnd: backEnd, TimedOut: timedOut}, listed)
	}
	return isLost
}

// Guards against back ends that crash at the same time and count as a lost path, and against a lost path that is not noticed.
func TestPathIsLostWhenSeveralBackEndsFail(t *testing.T) {
	for name, each := range map[string]struct {
		listed   int
		backEnds []uint64
		isLost   bool
	}{
		"one of nine":                 {9, []uint64{1}, false},
		"one of nine again and again": {9, []uint64{1, 1, 1, 1}, false},
		"two of nine":                 {9, []uint64{1, 2}, false},
		"four of nine":                {9, []uint64{1, 2, 3, 4}, false},
		"five of nine":                {9, []uint64{1, 2, 3, 4, 5}, true},
		"five of a hundred":           {100, []uint64{1, 2, 3, 4, 5}, false},
		"six of a hundred":            {100, []uint64{1, 2, 3, 4, 5, 6}, true},
		"three of four":               {4, []uint64{1, 2, 3}, true},
		"two of two":                  {2, []uint64{1, 2}, true},
		"one of two":                  {2, []uint64{1}, false},
		"the only one":                {1, []uint64{1}, false},
	} {
		tracker := New()
		require.Equal(t, each.isLost, fail(tracker, 0, false, each.listed, each.backEnds...), name)
		require.Equal(t, Path{IsLost: each.isLost}, tracker.PathTo("s"), name)
		require.Equal(t, each.isLost, tracker.RecordOpened("s"), name)
		require.Equal(t, Path{}, tracker.PathTo("s"), name)
	}
}

func TestSuccessOfAnyBackEndIsEvidenceOfAPath(t *testing.T) {
	tracker := New()
	require.False(t, fail(tracker, 0, false, 4, 1, 2))
	require.False(t, tracker.RecordOpened("s"))
	require.False(t, fail(tracker, time.Second, false, 4, 3, 4))
	require.True(t, fail(tracker, time.Second, false, 4, 5))
}

// Failures that are far apart are crashes of single back ends.
func TestOldFailuresAreNoEvidence(t *testing.T) {
	tracker := New()
	require.False(t, fail(tracker, 0, false, 4, 1))
	require.False(t, fail(tracker, evidenceLifetime, false, 4, 2))
	require.False(t, fail(tracker, 2*evidenceLifetime, false, 4, 3))
	require.True(t, fail(tracker, 2*evidenceLifetime, false, 4, 4))
}

func TestLostPathIsReportedOnceAndTellsHow(t *testing.T) {
	tracker := New()
	require.True(t, fail(tracker, 0, true, 3, 1, 2, 3))
	require.Equal(t, Path{IsLost: true, IsSilent: true}, tracker.PathTo("s"))
	require.False(t, fail(tracker, 10*time.Second, false, 3, 1), "it is lost already")
	require.Equal(t, Path{IsLost: true}, tracker.PathTo("s"), "attempts are refused now")
	require.Equal(t, []string{"s"}, tracker.LostServices())
	require.Equal(t, Path{}, tracker.PathTo("other"))
	tracker.Retain(func(name string) bool { return name != "s" })
	require.Empty(t, tracker.LostServices())
}
