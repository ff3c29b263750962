package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any sequence of requests and failures, all relays together stay within the ratio and the slack in any window, even
// when one relay restarts and loses its counts.
func TestRelaysKeepTheFleetsRetryBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 54.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
		service      = "service"
	)
	rapid.Check(t, func(t *rapid.T) {
		relays := make([]*Budget, rapid.IntRange(1, 12).Draw(t, "relays"))
		restart := func(index int) {
			relays[index] = New(ratio, window, slack)
			relays[index].SetRelays(len(relays))
		}
		for index := range relays {
			restart(index)
		}
		restarted := false
		var requests, retries []int // sums over all relays, one entry per step
		for number := range rapid.IntRange(50, 400).Draw(t, "steps") {
			now := time.Duration(number) * step
			arriving := rapid.IntRange(0, 20).Draw(t, "arriving")
			failing := rapid.IntRange(0, 40).Draw(t, "failing")
			granted := 0
			for count := range arriving {
				relays[(number+count)%len(relays)].RecordRequest(now, service)
			}
			for count := range failing {
				if relays[(number+count)%len(relays)].TrySpend(now, service) {
					granted++
				}
			}
			requests, retries = append(requests, arriving), append(retries, granted)
			if !restarted && number == 30 && len(relays) > 3 {
				restart(0)
				restarted = true
			}
			allowed, spent := slack, 0
			for back := max(0, number-int(window/step)+1); back <= number; back++ {
				allowed += ratio * float64(requests[back])
				spent += retries[back]
			}
			require.LessOrEqual(t, float64(spent), allowed, "at %s", now)
		}
	})
}

func TestBudgetAssumesManyRelaysUntilTheirCountIsKnown(t *testing.T) {
	budget := New(0, 10*time.Second, 640)
	granted := 0
	for budget.TrySpend(time.Second, "service") {
		granted++
	}
	require.Equal(t, 7, granted, "a share of the slack as if there were 64 relays")
	require.False(t, budget.TrySpend(10*time.Second, "service"))
	require.True(t, budget.TrySpend(13*time.Second, "service"), "the window has passed")
}
