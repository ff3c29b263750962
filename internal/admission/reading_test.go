package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnreadPromptsCount lets back ends read one prompt of 1,000 tokens each 100 ms, and
// then lets requests start whose first tokens do not come: a request that starts behind
// them would wait for all of them.
func TestUnreadPromptsCount(t *testing.T) {
	const each = 100 * time.Millisecond
	rows := []struct {
		name     string
		unread   int
		ended    int // of the unread ones, without a first token
		deadline time.Duration
		want     error
		priority int32 // of the unread ones
	}{
		{"nothing is unread", 1, 0, 500 * time.Millisecond, nil, 0},
		{"the unread ones take too long", 10, 0, 500 * time.Millisecond, ErrDeadline, 0},
		{"the unread ones leave enough time", 10, 0, 2 * time.Second, nil, 0},
		{"those of lower priority are not waited for", 10, 0, 500 * time.Millisecond, nil, -1},
		{"those of higher priority are", 10, 0, 500 * time.Millisecond, ErrDeadline, 1},
		{"those that ended are not waited for", 10, 9, 500 * time.Millisecond, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t)
			var now time.Duration
			id := uint64(0)
			start := func() {
				id++
				require.Empty(t, core.Offer(now, offered(id, "a", func(r *Request) { r.Class, r.Priority = "read", row.priority })))
				_, found := core.StartNext(now)
				require.True(t, found)
			}
			start()
			for range 20 { // one is unread all the time
				start()
				now += each
				core.RecordFirstToken(now, id-1, 0)
				core.Finish(now, id-1, Result{PromptTokens: 1000})
			}
			for range row.unread - 1 {
				start()
			}
			for gone := range row.ended {
				core.Finish(now, id-uint64(gone), Result{Failed: true})
			}
			refused := core.Offer(now, offered(1000, "a", deadline(now+row.deadline, 0), func(r *Request) { r.Class = "read" }))
			if row.want == nil {
				require.Empty(t, refused)
				return
			}
			require.Len(t, refused, 1)
			require.ErrorIs(t, refused[0].Reason, row.want)
		})
	}
}

// TestIdleTimeSaysNothingOfTheRate lets one prompt be read, and ten more a minute later:
// the minute must not count.
func TestIdleTimeSaysNothingOfTheRate(t *testing.T) {
	core := newTestCore(t)
	start := func(now time.Duration, id uint64) {
		require.Empty(t, core.Offer(now, offered(id, "a", func(r *Request) { r.Class = "read" })))
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
	require.InDelta(t, 200*time.Millisecond, core.reading.wait(0), float64(20*time.Millisecond))
	require.Empty(t, core.Offer(now, offered(100, "a", deadline(now+2*time.Second, 0), func(r *Request) { r.Class = "read" })))
}
