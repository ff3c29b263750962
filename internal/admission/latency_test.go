package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// finishedRequest is the class and the outcome of one request that has ended.
type finishedRequest struct {
	class  string
	result Result
	// firstToken is the time from its start to the first token; 0 for none.
	firstToken time.Duration
	// took is the time from its start to its end. The next request starts then.
	took time.Duration
}

func completed(class string, firstToken, interval time.Duration) finishedRequest {
	const tokens = 101
	return finishedRequest{class: class, took: firstToken + (tokens-1)*interval,
		firstToken: firstToken, result: Result{PromptTokens: 1000, OutputTokens: tokens}}
}

// TestEarlyRefusalUsesClassLatency runs requests one after the other and then offers one of class
// "slow" with 100 output tokens and a declared minimum of half a second.
func TestEarlyRefusalUsesClassLatency(t *testing.T) {
	slow := completed("slow", 2*time.Second, 20*time.Millisecond)
	rows := []struct {
		name     string
		before   []finishedRequest
		pause    time.Duration
		deadline time.Duration // from the offer on
		want     error
	}{
		{"no latency is known", nil, 0, time.Second, nil},
		{"without a known latency the request's own minimum applies", nil, 0, 400 * time.Millisecond, ErrDeadline},
		{"the class latency leaves too little time", []finishedRequest{slow, slow}, 0, 3900 * time.Millisecond, ErrDeadline},
		{"the class latency leaves just enough time", []finishedRequest{slow, slow}, 0, 4100 * time.Millisecond, nil},
		{"another class is slow", []finishedRequest{completed("other", 2*time.Second, 20*time.Millisecond)}, 0, time.Second, nil},
		{"the class latency is stale", []finishedRequest{slow, slow}, latencyLifetime + 1, time.Second, nil},
		{"varying latencies need a margin",
			[]finishedRequest{completed("slow", time.Second, 0), completed("slow", 4*time.Second, 0)}, 0, 1500 * time.Millisecond, ErrDeadline},
		{"a request was cancelled without a token", []finishedRequest{completed("slow", 100*time.Millisecond, 0),
			{class: "slow", took: 30 * time.Second, result: Result{Failed: true, DeadlineMissed: true}}}, 0, 2 * time.Second, ErrDeadline},
		{"a request failed for another reason", []finishedRequest{completed("slow", 100*time.Millisecond, 0),
			{class: "slow", took: time.Second, result: Result{Failed: true}}}, 0, 2 * time.Second, nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t)
			var now time.Duration
			for number, each := range row.before {
				require.Empty(t, core.Offer(now, newRequest(uint64(number), "a", func(r *Request) { r.Class = each.class })))
				_, found := core.StartNext(now)
				require.True(t, found)
				if each.firstToken > 0 {
					core.RecordFirstToken(now+each.firstToken, uint64(number), 0)
				}
				now += each.took
				core.Finish(now, uint64(number), each.result)
			}
			now += row.pause
			refused := core.Offer(now, newRequest(100, "a", deadline(now+row.deadline, 500*time.Millisecond),
				func(r *Request) { r.Class, r.OutputTokens = "slow", 100 }))
			if row.want == nil {
				require.Empty(t, refused)
				return
			}
			require.Len(t, refused, 1)
			require.ErrorIs(t, refused[0].Reason, row.want)
			require.GreaterOrEqual(t, refused[0].RetryAfter, minimumRetryAfter)
		})
	}
}

// TestOneRequestProbesStaleLatency offers ten requests that a stale latency would refuse. One is
// admitted as a probe, and the others are refused until the probe has measured a lower latency.
func TestOneRequestProbesStaleLatency(t *testing.T) {
	core := newTestCore(t)
	offer := func(now time.Duration, id uint64) []Refusal {
		return core.Offer(now, newRequest(id, "a", deadline(now+time.Second, 0), func(r *Request) { r.Class = "slow" }))
	}
	require.Empty(t, offer(0, 0))
	_, found := core.StartNext(0)
	require.True(t, found)
	core.RecordFirstToken(3*time.Second, 0, 0)
	core.Finish(3*time.Second, 0, Result{PromptTokens: 1000})
	now := 3*time.Second + latencyLifetime + 1
	require.Empty(t, offer(now, 1))
	_, found = core.StartNext(now)
	require.True(t, found, "the first request is the probe")
	for id := range uint64(9) {
		require.Len(t, offer(now, 10+id), 1, "the others are refused")
	}
	for id := uint64(1); id < 6; id++ {
		core.RecordFirstToken(now+10*time.Millisecond, id, 0)
		core.Finish(now+10*time.Millisecond, id, Result{PromptTokens: 1000})
		now += latencyLifetime + 20*time.Millisecond
		require.Empty(t, offer(now, id+1))
		_, found = core.StartNext(now)
		require.True(t, found)
	}
	require.Empty(t, offer(now, 100), "the latency is low again")
}

// TestStartNextRefusesLateRequests queues two requests and waits until one of them is late.
// StartNext starts the other one and refuses the late one immediately.
func TestStartNextRefusesLateRequests(t *testing.T) {
	core := newTestCore(t, oneAtATime)
	require.Empty(t, core.Offer(0, newRequest(1, "a")))
	_, found := core.StartNext(0)
	require.True(t, found)
	require.Empty(t, core.Offer(0, newRequest(2, "a", deadline(time.Second, 0))))
	require.Empty(t, core.Offer(0, newRequest(3, "a", deadline(time.Minute, 0))))
	core.Finish(2*time.Second, 1, Result{})
	next, found := core.StartNext(2 * time.Second)
	require.True(t, found)
	require.Equal(t, uint64(3), next.ID)
	require.Equal(t, []Refusal{{2, ErrDeadline, time.Second}}, core.DrainRefusals())
	require.Empty(t, core.DrainRefusals())
	require.False(t, core.Remove(2))
}

// TestMissedDeadlinesShrinkTheWindow separates missed deadlines from failures unrelated to load.
func TestMissedDeadlinesShrinkTheWindow(t *testing.T) {
	rows := []struct {
		name    string
		result  Result
		tokenAt time.Duration // 0 for no first token
		wait    time.Duration
		shrinks bool
	}{
		{"missed", Result{Failed: true, DeadlineMissed: true}, 0, 0, true},
		{"failed", Result{Failed: true}, 0, 0, false},
		{"failed after a long wait for its first token", Result{Failed: true}, time.Minute, time.Minute, true},
		{"completed without waiting", Result{}, time.Millisecond, 0, false},
		{"completed after long waits", Result{}, time.Minute, time.Minute, true},
		{"completed after long waits, reported at the end", Result{Wait: time.Minute}, 0, 0, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t)
			before := core.window.size
			for id := range uint64(20) {
				require.Empty(t, core.Offer(0, newRequest(id, "a")))
				_, found := core.StartNext(0)
				require.True(t, found)
				if row.tokenAt > 0 {
					core.RecordFirstToken(row.tokenAt, id, row.wait)
				}
				core.Finish(time.Minute, id, row.result)
			}
			require.Equal(t, row.shrinks, core.window.size < before)
		})
	}
}
