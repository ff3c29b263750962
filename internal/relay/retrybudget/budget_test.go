package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// However requests and failures come, all relays together keep within the ratio and the slack in any
// window, also while one of them restarts and forgets what it has spent.
func TestRelaysKeepTheFleetsRetryBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 54.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
		service      = "service"
	)
	rapid.Check(t, func(t *rapid.T) {
		relays := make([]*Budget, rapid.IntRange(1, 12).Draw(t, "relays"))
		begin := func(index int) {
			relays[index] = New(ratio, window, slack)
			relays[index].SetRelays(len(relays))
		}
		for index := range relays {
			begin(index)
		}
		restarted := false
		var requests, extras []int // by step, of all relays
		for number := range rapid.IntRange(50, 400).Draw(t, "steps") {
			now := time.Duration(number) * step
			arriving := rapid.IntRange(0, 20).Draw(t, "arriving")
			failing := rapid.IntRange(0, 40).Draw(t, "failing")
			taken := 0
			for count := range arriving {
				relays[(number+count)%len(relays)].NoteRequest(now, service)
			}
			for count := range failing {
				if relays[(number+count)%len(relays)].Take(now, service) {
					taken++
				}
			}
			requests, extras = append(requests, arriving), append(extras, taken)
			if !restarted && number == 30 && len(relays) > 3 {
				begin(0)
				restarted = true
			}
			allowed, spent := slack, 0
			for back := max(0, number-int(window/step)+1); back <= number; back++ {
				allowed += ratio * float64(requests[back])
				spent += extras[back]
			}
			require.LessOrEqual(t, float64(spent), allowed, "at %s", now)
		}
	})
}

func TestABudgetWithoutWordOfTheOtherRelaysIsSmall(t *testing.T) {
	budget := New(0, 10*time.Second, 640)
	taken := 0
	for budget.Take(time.Second, "service") {
		taken++
	}
	require.Equal(t, 7, taken, "a share of the slack as if there were 64 relays")
	require.False(t, budget.Take(10*time.Second, "service"))
	require.True(t, budget.Take(13*time.Second, "service"), "the window has passed")
}
