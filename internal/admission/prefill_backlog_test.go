package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrefillBacklogDelaysFirstToken lets back ends prefill one prompt of 1,000 tokens every 100 ms
// and then starts requests whose first tokens do not arrive. A request that starts behind them
// would wait for the prefill of all of them.
func TestPrefillBacklogDelaysFirstToken(t *testing.T) {
	const each = 100 * time.Millisecond
	rows := []struct {
		name     string
		pending  int
		ended    int // of the pending ones, without a first token
		deadline time.Duration
		want     error
		priority int32 // of the pending ones
	}{
		{"only one prompt is pending", 1, 0, 500 * time.Millisecond, nil, 0},
		{"the backlog takes too long", 10, 0, 500 * time.Millisecond, ErrDeadline, 0},
		{"the backlog leaves enough time", 10, 0, 2 * time.Second, nil, 0},
		{"prompts of lower priority do not delay it", 10, 0, 500 * time.Millisecond, nil, -1},
		{"prompts of higher priority delay it", 10, 0, 500 * time.Millisecond, ErrDeadline, 1},
		{"ended requests do not delay it", 10, 9, 500 * time.Millisecond, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t)
			var now time.Duration
			id := uint64(0)
			start := func() {
				id++
				require.Empty(t, core.Offer(now, newRequest(id, "a", func(r *Request) { r.Class, r.Priority = "read", row.priority })))
				_, found := core.StartNext(now)
				require.True(t, found)
			}
			start()
			for range 20 { // one prompt is pending all the time
				start()
				now += each
				core.RecordFirstToken(now, id-1, 0)
				core.Finish(now, id-1, Result{PromptTokens: 1000})
			}
			for range row.pending - 1 {
				start()
			}
			for index := range row.ended {
				core.Finish(now, id-uint64(index), Result{Failed: true})
			}
			refused := core.Offer(now, newRequest(1000, "a", deadline(now+row.deadline, 0), func(r *Request) { r.Class = "read" }))
			if row.want == nil {
				require.Empty(t, refused)
				return
			}
			require.Len(t, refused, 1)
			require.ErrorIs(t, refused[0].Reason, row.want)
		})
	}
}

// TestIdleTimeIsExcludedFromPrefillRate prefills one prompt, and ten more a minute later. The idle
// minute must not lower the measured rate.
func TestIdleTimeIsExcludedFromPrefillRate(t *testing.T) {
	core := newTestCore(t)
	start := func(now time.Duration, id uint64) {
		require.Empty(t, core.Offer(now, newRequest(id, "a", func(r *Request) { r.Class = "read" })))
		_, found := core.StartNext(now)
		require.True(t, found)
	}
	end := func(now time.Duration, id uint64) {
		core.RecordFirstToken(now, id, 0)
		core.Finish(now, id, Result{PromptTokens: 1000})
	}
	start(0, 1)
	end(100*time.Millisecond, 1)
	for id := range uint64(10) {
		start(time.Minute, 10+id)
	}
	for id := range uint64(8) {
		end(time.Minute+time.Duration(id+1)*100*time.Millisecond, 10+id)
	}
	now := time.Minute + 800*time.Millisecond
	require.InDelta(t, 200*time.Millisecond, core.prefill.wait(0), float64(20*time.Millisecond))
	require.Empty(t, core.Offer(now, newRequest(100, "a", deadline(now+2*time.Second, 0), func(r *Request) { r.Class = "read" })))
}
