package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A relay that holds nothing waits longer each time that an answer does not come; one that holds a view
// asks another controller soon.
func TestARelayWithoutAViewGrowsPatient(t *testing.T) {
	waits := &patience{}
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		require.Equal(t, want, waits.slack(false))
		require.Equal(t, watchSlack, waits.slack(true))
		waits.missedAnswer()
	}
	for range 100 {
		waits.missedAnswer()
	}
	require.Equal(t, longestPatience, waits.slack(false))
	waits.answered()
	require.Equal(t, firstPatience, waits.slack(false))
}

// What a controller answers within the patience counts, and what comes later is asked for again.
func TestALateAnswerIsJudgedByThePatience(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	held := relay.view.Load()
	away := relay.suspendable()
	asked := relay.clock.now()
	away.Add(int64(relay.watcher.wait() + firstPatience - 50*time.Millisecond))
	require.True(t, relay.watcher.lateAnswer(asked), "a view is held")
	relay.view.Store(&view{})
	require.False(t, relay.watcher.lateAnswer(asked), "a whole answer takes longer")
	away.Add(int64(time.Second))
	require.True(t, relay.watcher.lateAnswer(asked))
	relay.view.Store(held)
}
