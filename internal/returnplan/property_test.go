package returnplan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is the plan as a plain list of promises, beside the plan and the deputy's plan under test.
type model struct {
	now          time.Duration
	room         Room
	plan, deputy *Plan
	outstanding  []Promise
}

// lapse drops the promises whose window has passed.
func (m *model) lapse() {
	m.outstanding = slices.DeleteFunc(m.outstanding, func(p Promise) bool { return m.now > p.DueAt+lateTolerance })
}

// ask asks for a promise and checks its time against the promises before it.
func (m *model) ask(r *rapid.T) {
	caller := Caller{
		Signature:      rapid.Uint64Range(1, 10).Draw(r, "signature"),
		Tenant:         rapid.Uint64Range(0, 3).Draw(r, "tenant"),
		Level:          rapid.IntRange(0, 2).Draw(r, "level"),
		FirstRefusedAt: m.now - drawTime(r, 5*time.Second, "waited"),
	}
	latest := m.now + drawTime(r, 3*time.Second, "latest")
	at, promised := m.plan.Promise(m.now, caller, m.room, latest, rapid.Float64Range(0, 0.999).Draw(r, "draw"))
	require.Greater(r, at, m.now)
	if !promised {
		return
	}
	require.LessOrEqual(r, at, latest)
	m.checkOrder(r, caller, at)
	m.outstanding = append(m.outstanding, Promise{Signature: caller.Signature, Tenant: caller.Tenant, Level: caller.Level, DueAt: at})
	start := at.Truncate(span)
	require.LessOrEqual(r, countBySpan(m.plan)[start], countBetween(m.room.PerSecond, start, start+span), "the span is overfull")
}

// checkOrder checks that a further promise for a signature comes after those that must come first.
func (m *model) checkOrder(r *rapid.T, caller Caller, at time.Duration) {
	repeats := slices.ContainsFunc(m.outstanding, func(p Promise) bool { return p.Signature == caller.Signature })
	for _, earlier := range m.outstanding {
		if earlier.Signature == caller.Signature {
			require.GreaterOrEqual(r, at, earlier.DueAt+span)
		} else if repeats && earlier.Level == caller.Level {
			require.Greater(r, at, earlier.DueAt)
		}
	}
}

// redeem returns a client and checks that it is due if and only if its earliest promise is.
func (m *model) redeem(r *rapid.T) {
	signature := rapid.Uint64Range(1, 10).Draw(r, "returning")
	earliest := -1
	for i, each := range m.outstanding {
		if each.Signature == signature && (earliest < 0 || each.DueAt < m.outstanding[earliest].DueAt) {
			earliest = i
		}
	}
	promise, due := m.plan.Redeem(m.now, signature)
	if earliest < 0 {
		require.False(r, due)
		require.Zero(r, promise)
		return
	}
	require.Equal(r, m.outstanding[earliest], promise)
	require.Equal(r, promise.DueAt-earlyTolerance <= m.now, due)
	if due {
		m.outstanding = slices.Delete(m.outstanding, earliest, earliest+1)
	}
}

// check compares the plans with the model.
func (m *model) check(r *rapid.T) {
	for _, change := range m.plan.Changes() {
		m.deputy.ApplyChange(m.now, change)
	}
	until := m.now + drawTime(r, time.Second, "until")
	expected := 0
	for _, each := range m.outstanding {
		if each.DueAt <= until {
			expected++
		}
	}
	require.Equal(r, expected, m.plan.DueUntil(m.now, until))
	require.Equal(r, expected, m.deputy.DueUntil(m.now, until))
}

func drawTime(r *rapid.T, maximum time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(maximum)).Draw(r, label))
}

// TestPlanKeepsItsRules lets clients request promises and return at random.
func TestPlanKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{plan: New(span), deputy: New(span)}
		m.room = Room{PerSecond: rapid.Float64Range(1, 400).Draw(r, "per second"), Backlog: rapid.IntRange(0, 40).Draw(r, "backlog")}
		for range rapid.IntRange(1, 120).Draw(r, "steps") {
			m.now += drawTime(r, 60*time.Millisecond, "pause")
			m.lapse()
			if rapid.IntRange(0, 2).Draw(r, "action") == 0 {
				m.redeem(r)
			} else {
				m.ask(r)
			}
			m.check(r)
		}
	})
}
