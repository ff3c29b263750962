package fleetlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// neutralDraw is a draw that leaves waits unchanged.
const neutralDraw = 0.5

func newLimit(perSecond float64) backpressure.Limit {
	return backpressure.Limit{IsSet: true, PerSecond: perSecond}
}

// grants requests permits every 5 ms for a while and returns when they were granted.
func (c *LimitCounters) grants(from, until time.Duration, ask PermitRequest) (granted []time.Duration) {
	for now := from; now < until; now += 5 * time.Millisecond {
		if c.HandleRequest(now, ask, FullFraction, neutralDraw).Granted {
			granted = append(granted, now)
		}
	}
	return granted
}

// Permits granted under a larger limit count against a smaller limit that replaces it.
func TestASmallerLimitHoldsAtOnce(t *testing.T) {
	counters := NewLimitCounters()
	request := PermitRequest{BackEnd: backEnd, Limit: newLimit(40), RequesterID: 1}
	require.NotEmpty(t, counters.grants(0, 10*time.Second, request))
	require.True(t, counters.SetLimit(10*time.Second, backEnd, newLimit(1)))
	request.Limit = newLimit(1)
	require.Empty(t, counters.grants(10*time.Second, 13*time.Second, request), "the last four seconds exceed the new limit")
	granted := counters.grants(13*time.Second, 30*time.Second, request)
	require.GreaterOrEqual(t, len(granted), 12)
	count, _ := maximumInWindow(granted)
	require.LessOrEqual(t, float64(count), tolerated(1))
	require.True(t, counters.SetLimit(30*time.Second, backEnd, newLimit(40)))
	require.GreaterOrEqual(t, len(counters.grants(30*time.Second, 32*time.Second, request)), 70, "a larger limit applies immediately")
}

// No window exceeds what the largest of several successive limits tolerates.
func TestLimitsHoldHoweverTheyChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counters := NewLimitCounters()
		largest, now := 0.0, time.Duration(0)
		var granted []time.Duration
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			perSecond := rapid.Float64Range(0, 30).Draw(t, "limit")
			largest = max(largest, perSecond)
			length := time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "length"))
			counters.SetLimit(now, backEnd, newLimit(perSecond))
			granted = append(granted, counters.grants(now, now+length, PermitRequest{BackEnd: backEnd, Limit: newLimit(perSecond), RequesterID: 1})...)
			now += length
		}
		count, at := maximumInWindow(granted)
		if float64(count) > tolerated(largest) {
			t.Fatalf("%d permits in the window that ends at %s", count, at)
		}
	})
}

// A limit of zero still grants a permit from time to time; otherwise no process would detect the end of the limit.
func TestRemovedLimitIsDetected(t *testing.T) {
	counters := NewLimitCounters()
	granted := counters.grants(0, 40*time.Second, PermitRequest{BackEnd: backEnd, Limit: newLimit(0), RequesterID: 1})
	require.InDelta(t, 10, len(granted), 1)
	count, _ := maximumInWindow(granted)
	require.LessOrEqual(t, float64(count), tolerated(0))
	require.True(t, counters.SetLimit(40*time.Second, backEnd, backpressure.Limit{}))
	require.True(t, counters.HandleRequest(40*time.Second, PermitRequest{BackEnd: backEnd, Limit: newLimit(0)}, FullFraction, neutralDraw).Granted, "the removal is stored")
	require.False(t, counters.HandleRequest(40*time.Second, PermitRequest{BackEnd: backEnd, Limit: newLimit(0), LimitFromBackEnd: true}, FullFraction, neutralDraw).Granted, "until the limit is named again")
}

// When demand exceeds the limit, urgent requests go first and the others still get some permits.
func TestUrgentRequestsGoFirst(t *testing.T) {
	counters := NewLimitCounters()
	counts := [RankCount]int{}
	for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
		rank := []int{5, 0, 9}[int(now/(5*time.Millisecond))%3]
		if counters.HandleRequest(now, PermitRequest{BackEnd: backEnd, Limit: newLimit(4), RequesterID: uint64(rank), Rank: rank}, FullFraction, neutralDraw).Granted {
			counts[rank]++
		}
	}
	all := counts[0] + counts[5] + counts[9]
	require.GreaterOrEqual(t, all, 220)
	require.GreaterOrEqual(t, counts[0], all/2)
	require.Positive(t, counts[5])
	require.Positive(t, counts[9])
}

// A run that can only resume at the back end with its KV cache gets a permit slightly before a token is available.
func TestResumingRequestIsGrantedEarly(t *testing.T) {
	counters := NewLimitCounters()
	request := PermitRequest{BackEnd: backEnd, Limit: newLimit(1)}
	const later = 5500 * time.Millisecond // half a token after the last permit
	counters.grants(0, later, request)
	require.False(t, counters.HandleRequest(later, request, FullFraction, neutralDraw).Granted)
	request.MustResume = true
	require.True(t, counters.HandleRequest(later, request, FullFraction, neutralDraw).Granted)
	require.False(t, counters.HandleRequest(later, request, FullFraction, neutralDraw).Granted, "only one of them")
}

// With many requesters the waits are long; with a few they are short enough to use the limit. Waits are spread.
func TestWaitGrowsWithRequesters(t *testing.T) {
	waitWith := func(requesters uint64, draw float64) time.Duration {
		counters := NewLimitCounters()
		wait := time.Duration(0)
		for requester := range requesters {
			wait = counters.HandleRequest(time.Second, PermitRequest{BackEnd: backEnd, Limit: newLimit(10), RequesterID: requester}, FullFraction, draw).Wait
		}
		return wait
	}
	require.LessOrEqual(t, waitWith(5, neutralDraw), 200*time.Millisecond)
	require.Equal(t, maximumWait, waitWith(1000, neutralDraw))
	require.Less(t, waitWith(100, 0), waitWith(100, 0.99))
}

// Limits without permit requests are eventually removed.
func TestStaleLimitsAreRemoved(t *testing.T) {
	counters := NewLimitCounters()
	counters.SetLimit(0, 1, newLimit(1))
	counters.SetLimit(0, 2, newLimit(1))
	counters.SetLimit(time.Second, 2, backpressure.Limit{})
	require.Equal(t, []BackEndLimit{{BackEnd: 1, Limit: newLimit(1)}, {BackEnd: 2}}, counters.Limits(2*time.Second), "the removal is announced for a while")
	require.Len(t, counters.Limits(time.Minute), 1)
	require.Empty(t, counters.Limits(time.Hour))
}

// A process grants the whole limit only after it has ranked first for settlingTime without notices from a higher rank.
func TestPartsOfALimit(t *testing.T) {
	first, second := NewMember("a"), NewMember("b")
	if first.ownership.Outranks(backEnd, "b") {
		first, second = second, first
	}
	both := []string{"a", "b"}
	for _, member := range []*Member{first, second} {
		member.SetProcesses(0, both)
	}
	require.Equal(t, newOwnerFraction, first.fraction(time.Second, backEnd, true), "the previous owner may still grant permits")
	require.Equal(t, FullFraction, first.fraction(settlingTime, backEnd, true))
	require.Equal(t, cutOffFraction, first.fraction(settlingTime, backEnd, false), "a newer list may name another owner")
	require.Equal(t, newOwnerFraction, second.fraction(settlingTime, backEnd, true))

	request := PermitRequest{BackEnd: backEnd, Limit: newLimit(1)}
	for now := settlingTime; now <= 2*settlingTime; now += time.Second {
		_, isOwner := second.HandleRequest(now, request, true, neutralDraw)
		require.True(t, isOwner)
	}
	require.Equal(t, cutOffFraction, second.fraction(2*settlingTime, backEnd, true), "the owner is silent")
	second.ApplyNotice(2*settlingTime, first.ownership.self, BackEndLimit{BackEnd: backEnd, Limit: newLimit(1)})
	require.Equal(t, newOwnerFraction, second.fraction(2*settlingTime, backEnd, true))

	second.SetProcesses(2*settlingTime, []string{second.ownership.self})
	require.Equal(t, newOwnerFraction, second.fraction(3*settlingTime-time.Second, backEnd, true), "it still receives notices from the previous owner, which is not listed")
	require.Equal(t, FullFraction, second.fraction(3*settlingTime, backEnd, true))
	stranger := NewMember("c")
	require.Zero(t, stranger.fraction(settlingTime, backEnd, true))
	_, isOwner := stranger.HandleRequest(settlingTime, request, true, neutralDraw)
	require.False(t, isOwner)
}

func TestLimitsOnTheWire(t *testing.T) {
	for _, each := range []BackEndLimit{{BackEnd: 1, Limit: newLimit(0.5)}, {BackEnd: 2}, {BackEnd: 3, Limit: newLimit(0)}} {
		read, valid := FromWire(ToWire(each))
		require.True(t, valid)
		require.Equal(t, each, read)
	}
	_, valid := FromWire(&v1.NamedLimit{Named: true, PerSecond: -1})
	require.False(t, valid)
}
