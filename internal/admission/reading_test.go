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
				_, found := core.Next(now)
				require.True(t, found)
			}
			start()
			for range 20 { // one is unread all the time
				start()
				now += each
				core.FirstToken(now, id-1, 0)
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
