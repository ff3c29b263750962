package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request is offered to other cells if it would wait long, is refused or finds no engine; the better decision
// is used.
func TestShouldSpill(t *testing.T) {
	p := DefaultParameters()
	request := Request{Target: time.Second}
	placed := func(wait time.Duration, cost float64) Decision {
		return Decision{Action: PrefillSeparately, Engine: &Candidate{QueueDelay: wait, Cost: cost}}
	}
	short := placed(100*time.Millisecond, 0.5)
	long := placed(400*time.Millisecond, 0.9)
	refused := Decision{Action: Refuse, Engine: &Candidate{Cost: 2}}
	require.False(t, p.ShouldSpill(request, short))
	require.True(t, p.ShouldSpill(request, long))
	require.True(t, p.ShouldSpill(request, refused))
	require.True(t, p.ShouldSpill(request, Decision{}))
	require.False(t, p.ShouldSpill(Request{}, long), "a prefilled prompt stays near its KV cache")

	require.True(t, short.IsBetter(long))
	require.False(t, long.IsBetter(short))
	require.True(t, long.IsBetter(refused))
	require.True(t, refused.IsBetter(Decision{}), "a refusal says when to come back")
	require.False(t, Decision{}.IsBetter(refused))
	require.False(t, Decision{}.IsBetter(Decision{}))
}
