package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestCore(t require.TestingT, change ...func(*Config)) *Core {
	config := Config{}
	for _, apply := range change {
		apply(&config)
	}
	core, err := New(config)
	require.NoError(t, err)
	return core
}

// oneAtATime limits the core to one request in flight.
func oneAtATime(c *Config) { c.MaximumInFlight = 1 }

func queueLength(length int) func(*Config) { return func(c *Config) { c.QueueLength = length } }

func newRequest(id uint64, tenant string, change ...func(*Request)) Request {
	request := Request{ID: id, Tenant: tenant, Worth: 1, PromptTokens: 1000}
	for _, apply := range change {
		apply(&request)
	}
	return request
}

func worth(value float64) func(*Request) { return func(r *Request) { r.Worth = value } }

func deadline(at, minimum time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline, r.MinimumTime = at, minimum }
}

// drain starts and finishes one request after the other and returns their IDs.
func drain(core *Core, now time.Duration) []uint64 {
	var started []uint64
	for {
		next, found := core.StartNext(now)
		if !found {
			return started
		}
		started = append(started, next.ID)
		core.Finish(now, next.ID, Result{})
	}
}

func TestOrderOfService(t *testing.T) {
	rows := []struct {
		name    string
		offers  []Request
		started []uint64
	}{
		{"worth per token first within a tenant",
			[]Request{newRequest(1, "a", worth(1)), newRequest(2, "a", worth(8)), newRequest(3, "a", worth(4))}, []uint64{2, 3, 1}},
		{"earliest start first among equals",
			[]Request{newRequest(1, "a", deadline(30*time.Second, 0)), newRequest(2, "a", deadline(9*time.Second, 0))}, []uint64{2, 1}},
		{"tenants alternate",
			[]Request{newRequest(1, "a"), newRequest(2, "a"), newRequest(3, "a"), newRequest(4, "b")}, []uint64{1, 4, 2, 3}},
		{"a larger weight gets a larger share",
			[]Request{newRequest(1, "a"), newRequest(2, "a"), newRequest(3, "a"),
				newRequest(4, "b", func(r *Request) { r.Weight = 3 }), newRequest(5, "b", func(r *Request) { r.Weight = 3 }),
				newRequest(6, "b", func(r *Request) { r.Weight = 3 })}, []uint64{1, 4, 5, 6, 2, 3}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t, oneAtATime)
			for _, request := range row.offers {
				require.Empty(t, core.Offer(0, request))
			}
			require.Equal(t, row.started, drain(core, 0))
		})
	}
}

func TestRefusals(t *testing.T) {
	rows := []struct {
		name   string
		config []func(*Config)
		offers []Request
		want   []Refusal // of the last offer
	}{
		{"deadline has passed", nil,
			[]Request{newRequest(1, "a", deadline(time.Second, 2*time.Second))}, []Refusal{{1, ErrDeadline, 3 * time.Second}}},
		{"same identity twice", nil, []Request{newRequest(1, "a"), newRequest(1, "a")}, []Refusal{{1, ErrDuplicate, 0}}},
		{"larger than the queue's memory", []func(*Config){func(c *Config) { c.QueueBytes = 10 }},
			[]Request{newRequest(1, "a", func(r *Request) { r.Bytes = 11 })}, []Refusal{{1, ErrTooLarge, 0}}},
		{"least worth is shed", []func(*Config){queueLength(2)},
			[]Request{newRequest(1, "a", worth(8)), newRequest(2, "a", worth(1)), newRequest(3, "a", worth(4))}, []Refusal{{2, ErrQueueFull, time.Second}}},
		{"the newcomer is shed when it is worth least", []func(*Config){queueLength(1)},
			[]Request{newRequest(1, "a", worth(8)), newRequest(2, "a", worth(1))}, []Refusal{{2, ErrQueueFull, time.Second}}},
		{"a tenant within its share is not shed for a flooding one that is worth more", []func(*Config){queueLength(3)},
			[]Request{newRequest(1, "small", worth(1)), newRequest(2, "flood", worth(8)), newRequest(3, "flood", worth(8)), newRequest(4, "flood", worth(8))},
			[]Refusal{{4, ErrQueueFull, time.Second}}},
		{"the queue's memory is bounded", []func(*Config){func(c *Config) { c.QueueBytes = 10 }},
			[]Request{newRequest(1, "a", func(r *Request) { r.Bytes = 6 }), newRequest(2, "a", func(r *Request) { r.Bytes = 6 })},
			[]Refusal{{2, ErrQueueFull, time.Second}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t, row.config...)
			var refused []Refusal
			for _, request := range row.offers {
				refused = core.Offer(2*time.Second, request)
			}
			require.Equal(t, row.want, refused)
		})
	}
}

func TestExpireRefusesLateRequests(t *testing.T) {
	core := newTestCore(t, oneAtATime)
	require.Empty(t, core.Offer(0, newRequest(1, "a")))
	_, found := core.StartNext(0)
	require.True(t, found)
	require.Empty(t, core.Offer(0, newRequest(2, "a", deadline(5*time.Second, 3*time.Second))))
	require.Empty(t, core.Expire(2*time.Second), "the latest start has not passed")
	require.Equal(t, []Refusal{{2, ErrDeadline, time.Second}}, core.Expire(2*time.Second+1))
}

// TestPredictedDeadlineMissIsRefusedEarly completes 1,000 tokens per second. With ten seconds of
// queue, a deadline in three seconds cannot be met and must be refused on arrival.
func TestPredictedDeadlineMissIsRefusedEarly(t *testing.T) {
	core := newTestCore(t, oneAtATime)
	for id := range uint64(14) {
		require.Empty(t, core.Offer(0, newRequest(id, "a")))
	}
	var now time.Duration
	for range 4 {
		next, found := core.StartNext(now)
		require.True(t, found)
		now += time.Second
		core.Finish(now, next.ID, Result{})
	}
	refused := core.Offer(now, newRequest(100, "a", deadline(now+3*time.Second, 0), worth(0.5)))
	require.Len(t, refused, 1)
	require.ErrorIs(t, refused[0].Reason, ErrDeadline)
	require.InDelta(t, 7*time.Second, refused[0].RetryAfter, float64(time.Second))
	require.Empty(t, core.Offer(now, newRequest(101, "a", deadline(now+3*time.Second, 0), worth(8))),
		"a request served before the queue meets its deadline")
	require.Empty(t, core.Offer(now, newRequest(102, "b", deadline(now+3*time.Second, 0), worth(0.5))),
		"another tenant does not wait behind the queue of the first")
}

func TestWindowFollowsTheBackEnds(t *testing.T) {
	core := newTestCore(t, func(c *Config) { c.InitialWindow, c.MinimumWindow = 2000, 1000 })
	for id := range uint64(100) {
		core.Offer(0, newRequest(id, "a"))
	}
	startAll := func() []uint64 {
		var ids []uint64
		for {
			next, found := core.StartNext(0)
			if !found {
				return ids
			}
			ids = append(ids, next.ID)
		}
	}
	require.Len(t, startAll(), 2)
	core.Finish(0, 0, Result{Overloaded: true})
	require.Empty(t, startAll(), "the window has shrunk below two requests")
	core.Finish(0, 1, Result{Failed: true})
	require.Len(t, startAll(), 1)
	for range 8 {
		for id := range core.inFlight {
			core.Finish(time.Second, id, Result{})
		}
		startAll()
	}
	require.Greater(t, core.InFlightCount(), 2, "the window grows while no request waits at back ends")
}

// TestQueueAndInFlightStayWithinBounds offers, starts, finishes and expires requests at random.
// The queue and the requests in flight stay within their bounds, and each request ends exactly once.
func TestQueueAndInFlightStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, bytes, inFlight = 10, 100, 3
		core := newTestCore(t, func(c *Config) { c.QueueLength, c.QueueBytes, c.MaximumInFlight = length, bytes, inFlight })
		open := map[uint64]bool{}
		var started []uint64
		end := func(refused []Refusal) {
			for _, refusal := range refused {
				require.True(t, open[refusal.ID], "refused a request that is not open: %d", refusal.ID)
				delete(open, refusal.ID)
			}
		}
		var now time.Duration
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				open[id] = true
				end(core.Offer(now, Request{
					ID: id, Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant")),
					Weight: uint32(rapid.IntRange(0, 3).Draw(t, "weight")), Worth: rapid.Float64Range(0, 10).Draw(t, "worth"),
					PromptTokens: rapid.IntRange(0, 5000).Draw(t, "tokens"), Bytes: int64(rapid.IntRange(0, 60).Draw(t, "bytes")),
					Deadline: now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline"))*time.Millisecond,
				}))
			case 2:
				end(core.Expire(now))
				if next, found := core.StartNext(now); found {
					require.True(t, open[next.ID])
					started = append(started, next.ID)
				}
			case 3:
				if len(started) > 0 {
					core.Finish(now, started[0], Result{PromptTokens: 10})
					delete(open, started[0])
					started = started[1:]
				}
			}
			require.LessOrEqual(t, core.WaitingCount(), length)
			require.LessOrEqual(t, core.queuedBytes, int64(bytes))
			require.LessOrEqual(t, core.InFlightCount(), inFlight)
			require.Equal(t, len(open), core.WaitingCount()+core.InFlightCount())
			require.LessOrEqual(t, len(core.tenants), core.WaitingCount()+core.InFlightCount())
			require.Equal(t, core.WaitingCount(), core.byLatestStart.Len())
		}
	})
}

// TestSharesFollowWeights keeps every tenant's queue full. The started tokens are proportional
// to the weights, within one request per tenant.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newTestCore(t, oneAtATime)
		tenants := rapid.IntRange(2, 5).Draw(t, "tenants")
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), tenants, tenants).Draw(t, "weights")
		tokens := rapid.SliceOfN(rapid.IntRange(100, 2000), tenants, tenants).Draw(t, "tokens")
		var id uint64
		offer := func(tenant int) {
			id++
			core.Offer(0, Request{ID: id, Tenant: fmt.Sprint(tenant), Weight: uint32(weights[tenant]),
				Worth: float64(tokens[tenant]), PromptTokens: tokens[tenant]})
		}
		for tenant := range tenants {
			offer(tenant)
			offer(tenant)
		}
		used := make([]float64, tenants)
		for range 500 {
			next, found := core.StartNext(0)
			require.True(t, found)
			var tenant int
			_, err := fmt.Sscan(next.Tenant, &tenant)
			require.NoError(t, err)
			used[tenant] += float64(tokens[tenant]) / float64(weights[tenant])
			core.Finish(0, next.ID, Result{})
			offer(tenant)
		}
		for a := range tenants {
			for b := range tenants {
				bound := float64(tokens[a])/float64(weights[a]) + float64(tokens[b])/float64(weights[b])
				require.LessOrEqual(t, used[a]-used[b], bound+1e-6)
			}
		}
	})
}
