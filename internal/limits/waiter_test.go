package limits

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome is the result of a waiting request.
type outcome struct {
	id  uint64
	at  time.Duration
	err error
}

// TestWaitingRequests checks when waiting requests start or are refused. At 10 s a request uses up the
// initial share of 1,000 tokens per second, and the others wait.
func TestWaitingRequests(t *testing.T) {
	const ms, start = time.Millisecond, 10 * time.Second
	offer := func(core *Core, id uint64, tokens int, deadline time.Duration) error {
		_, err := core.Acquire(start, Request{ID: id, Tenant: tenant, Limit: Limit{TokensPerSecond: testLimit.TokensPerSecond}, Tokens: tokens, Deadline: deadline})
		return err
	}
	answer := func(core *Core, tokens uint64) {
		core.UrgentDemands(start)
		grant(core, start+5*ms, start, tokens, 10)
	}
	rows := []struct {
		name string
		// sizes are the tokens of the waiting requests, with IDs from 1.
		sizes    []int
		deadline time.Duration
		then     func(*Core)
		outcomes []outcome
	}{
		{name: "a larger share is granted", sizes: []int{3200, 3200}, then: func(c *Core) { answer(c, 64_000) },
			outcomes: []outcome{{1, start + 50*ms, nil}, {2, start + 100*ms, nil}}},
		{name: "the share is smaller than requested", sizes: []int{3200, 3200}, then: func(c *Core) { answer(c, 1200) },
			outcomes: []outcome{{2, start, ErrTokenLimit}, {1, start + 1000*ms, nil}}},
		{name: "the share is smaller than requested but yields enough in time", sizes: []int{900}, then: func(c *Core) { answer(c, 1200) },
			outcomes: []outcome{{1, start + 750*ms, nil}}},
		{name: "no answer: the initial share yields the tokens", sizes: []int{1000}, then: func(*Core) {},
			outcomes: []outcome{{1, start + 1000*ms, nil}}},
		{name: "no answer: the initial share does not suffice", sizes: []int{1000, 1000, 1000}, then: func(*Core) {},
			outcomes: []outcome{{1, start + 1000*ms, nil}, {2, start + 2000*ms, nil}, {3, start + 2000*ms, ErrTokenLimit}}},
		{name: "the deadline comes first", sizes: []int{1000}, deadline: start + 300*ms, then: func(*Core) {},
			outcomes: []outcome{{1, start + 300*ms, ErrTokenLimit}}},
		{name: "a small request does not overtake", sizes: []int{1000, 1}, then: func(*Core) {},
			outcomes: []outcome{{1, start + 1000*ms, nil}, {2, start + 1010*ms, nil}}},
		{name: "the caller disconnects", sizes: []int{1000, 1000}, then: func(c *Core) { c.CancelWait(1) },
			outcomes: []outcome{{2, start + 1000*ms, nil}}},
		{name: "no more requests wait than the limit", sizes: []int{1, 1, 1, 1}, then: func(*Core) {},
			outcomes: []outcome{{4, start, ErrTokenLimit}, {1, start + 10*ms, nil}, {2, start + 10*ms, nil}, {3, start + 10*ms, nil}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core := newTestCore(t, func(c *Config) { c.TenantWaiters = 3 })
			require.NoError(t, offer(core, 0, 1000, 0))
			var outcomes []outcome
			for i, size := range row.sizes {
				if err := offer(core, uint64(i+1), size, row.deadline); !errors.Is(err, ErrWaiting) {
					outcomes = append(outcomes, outcome{uint64(i + 1), start, reasonOf(err)})
				}
			}
			row.then(core)
			for now := start; core.WaitingCount() > 0; now += 10 * ms {
				for _, decision := range core.Resolve(now) {
					outcomes = append(outcomes, outcome{decision.ID, now, reasonOf(decision.Err)})
				}
			}
			require.Equal(t, row.outcomes, outcomes)
			account, _ := core.accounts.Peek(tenant)
			require.Zero(t, account.waiting)
			require.Zero(t, account.waitingTokens)
		})
	}
}

func reasonOf(err error) error {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return err
}

// TestUrgentDemands requests a tenant's share once for all waiting requests, and not at all when the
// controllers have no more to grant or do not answer.
func TestUrgentDemands(t *testing.T) {
	core := newTestCore(t)
	use := func(now time.Duration, id uint64) {
		_, _ = core.Acquire(now, Request{ID: id, Tenant: tenant, Limit: testLimit, Tokens: 1000})
	}
	require.Empty(t, core.UrgentDemands(0))
	use(0, 1)
	require.Empty(t, core.UrgentDemands(0), "no request waits")
	use(0, 2)
	use(0, 3)
	demands := core.UrgentDemands(time.Millisecond)
	require.Len(t, demands, 1)
	require.Equal(t, uint64(12_000), demands[0].WantedTokensPerSecond, "3,000 tokens in a quarter of a second")
	require.Equal(t, uint32(3), demands[0].WantedConcurrency, "waiting requests count")
	require.Empty(t, core.UrgentDemands(2*time.Millisecond), "the answer is pending")
	use(3*time.Millisecond, 4)
	require.Len(t, core.UrgentDemands(4*time.Millisecond), 1, "the demand has grown")
	grant(core, 5*time.Millisecond, 4*time.Millisecond, 10, 1)
	use(6*time.Millisecond, 5)
	require.Empty(t, core.UrgentDemands(7*time.Millisecond), "the tenant is at its limit")

	silent := newTestCore(t)
	core = silent
	use(0, 1)
	core.Demands(0)
	use(1900*time.Millisecond, 2)
	require.Len(t, core.UrgentDemands(1950*time.Millisecond), 0, "the initial share still yields")
	use(1900*time.Millisecond, 3)
	require.Len(t, core.UrgentDemands(1950*time.Millisecond), 1)
	core.CancelWait(3)
	use(2*time.Second, 4)
	require.Empty(t, core.UrgentDemands(2*time.Second), "no controller has answered for the longest wait")
}
