package fleetlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// middle is a draw that changes no wait.
const middle = 0.5

func named(perSecond float64) backpressure.Limit {
	return backpressure.Limit{IsSet: true, PerSecond: perSecond}
}

// grants asks every few milliseconds for a while and returns when permits were granted.
func (k *LimitCounters) grants(from, until time.Duration, ask PermitRequest) (granted []time.Duration) {
	for now := from; now < until; now += 5 * time.Millisecond {
		if k.HandleRequest(now, ask, FullFraction, middle).Granted {
			granted = append(granted, now)
		}
	}
	return granted
}

// What was granted under a larger limit counts against a smaller one that takes its place.
func TestASmallerLimitHoldsAtOnce(t *testing.T) {
	keeper := NewLimitCounters()
	ask := PermitRequest{BackEnd: backEnd, Limit: named(40), RequesterID: 1}
	require.NotEmpty(t, keeper.grants(0, 10*time.Second, ask))
	require.True(t, keeper.SetLimit(10*time.Second, backEnd, named(1)))
	ask.Limit = named(1)
	require.Empty(t, keeper.grants(10*time.Second, 13*time.Second, ask), "the last four seconds have had more than it allows")
	granted := keeper.grants(13*time.Second, 30*time.Second, ask)
	require.GreaterOrEqual(t, len(granted), 12)
	count, _ := most(granted)
	require.LessOrEqual(t, float64(count), tolerated(1))
	require.True(t, keeper.SetLimit(30*time.Second, backEnd, named(40)))
	require.GreaterOrEqual(t, len(keeper.grants(30*time.Second, 32*time.Second, ask)), 70, "a larger one is used at once")
}

// Whatever limits are named one after another, no window gets more than the largest of them tolerates.
func TestLimitsHoldHoweverTheyChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keeper := NewLimitCounters()
		largest, now := 0.0, time.Duration(0)
		var granted []time.Duration
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			perSecond := rapid.Float64Range(0, 30).Draw(t, "limit")
			largest = max(largest, perSecond)
			length := time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "length"))
			keeper.SetLimit(now, backEnd, named(perSecond))
			granted = append(granted, keeper.grants(now, now+length, PermitRequest{BackEnd: backEnd, Limit: named(perSecond), RequesterID: 1})...)
			now += length
		}
		count, at := most(granted)
		if float64(count) > tolerated(largest) {
			t.Fatalf("%d permits in the window that ends at %s", count, at)
		}
	})
}

// A limit of nothing still lets a request through now and then: without one nobody would hear of its end.
func TestTheEndOfALimitIsFoundOut(t *testing.T) {
	keeper := NewLimitCounters()
	granted := keeper.grants(0, 40*time.Second, PermitRequest{BackEnd: backEnd, Limit: named(0), RequesterID: 1})
	require.InDelta(t, 10, len(granted), 1)
	count, _ := most(granted)
	require.LessOrEqual(t, float64(count), tolerated(0))
	require.True(t, keeper.SetLimit(40*time.Second, backEnd, backpressure.Limit{}))
	require.True(t, keeper.HandleRequest(40*time.Second, PermitRequest{BackEnd: backEnd, Limit: named(0)}, FullFraction, middle).Granted, "the end is remembered")
	require.False(t, keeper.HandleRequest(40*time.Second, PermitRequest{BackEnd: backEnd, Limit: named(0), LimitFromBackEnd: true}, FullFraction, middle).Granted, "until it is named again")
}

// When more is asked for than the limit allows, urgent requests go first and the others still get a part.
func TestUrgentRequestsGoFirst(t *testing.T) {
	keeper := NewLimitCounters()
	counts := [RankCount]int{}
	for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
		rank := []int{5, 0, 9}[int(now/(5*time.Millisecond))%3]
		if keeper.HandleRequest(now, PermitRequest{BackEnd: backEnd, Limit: named(4), RequesterID: uint64(rank), Rank: rank}, FullFraction, middle).Granted {
			counts[rank]++
		}
	}
	all := counts[0] + counts[5] + counts[9]
	require.GreaterOrEqual(t, all, 220)
	require.GreaterOrEqual(t, counts[0], all/2)
	require.Positive(t, counts[5])
	require.Positive(t, counts[9])
}

// A run that must go on where its memory is does so a little before its turn.
func TestAnOwedRequestGoesOn(t *testing.T) {
	keeper := NewLimitCounters()
	ask := PermitRequest{BackEnd: backEnd, Limit: named(1)}
	const later = 5500 * time.Millisecond // half a token after the last permit
	keeper.grants(0, later, ask)
	require.False(t, keeper.HandleRequest(later, ask, FullFraction, middle).Granted)
	ask.MustResume = true
	require.True(t, keeper.HandleRequest(later, ask, FullFraction, middle).Granted)
	require.False(t, keeper.HandleRequest(later, ask, FullFraction, middle).Granted, "one of them")
}

// Many processes are told to ask seldom, a few often enough to use the limit; not all at once.
func TestWaitsFollowTheNumberOfAskers(t *testing.T) {
	waitWith := func(askers uint64, draw float64) time.Duration {
		keeper := NewLimitCounters()
		wait := time.Duration(0)
		for asker := range askers {
			wait = keeper.HandleRequest(time.Second, PermitRequest{BackEnd: backEnd, Limit: named(10), RequesterID: asker}, FullFraction, draw).Wait
		}
		return wait
	}
	require.LessOrEqual(t, waitWith(5, middle), 200*time.Millisecond)
	require.Equal(t, longestWait, waitWith(1000, middle))
	require.Less(t, waitWith(100, 0), waitWith(100, 0.99))
}

// Nothing is kept for good of back ends for which nobody asks.
func TestLimitsAreForgotten(t *testing.T) {
	keeper := NewLimitCounters()
	keeper.SetLimit(0, 1, named(1))
	keeper.SetLimit(0, 2, named(1))
	keeper.SetLimit(time.Second, 2, backpressure.Limit{})
	require.Equal(t, []BackEndLimit{{BackEnd: 1, Limit: named(1)}, {BackEnd: 2}}, keeper.Limits(2*time.Second), "the end is told for a while")
	require.Len(t, keeper.Limits(time.Minute), 1)
	require.Empty(t, keeper.Limits(time.Hour))
}

// A process grants a whole limit only once it has ranked first for a while, and heard of nobody before it.
func TestPartsOfALimit(t *testing.T) {
	first, second := NewMember("a"), NewMember("b")
	if first.tenure.Outranks(backEnd, "b") {
		first, second = second, first
	}
	both := []string{"a", "b"}
	for _, member := range []*Member{first, second} {
		member.SetProcesses(0, both)
	}
	require.Equal(t, newPart, first.part(time.Second, backEnd, true), "the one before may still grant")
	require.Equal(t, FullFraction, first.part(settling, backEnd, true))
	require.Equal(t, cutOffPart, first.part(settling, backEnd, false), "a newer list may name another one")
	require.Equal(t, newPart, second.part(settling, backEnd, true))

	ask := PermitRequest{BackEnd: backEnd, Limit: named(1)}
	for now := settling; now <= 2*settling; now += time.Second {
		_, keeps := second.HandleRequest(now, ask, true, middle)
		require.True(t, keeps)
	}
	require.Equal(t, cutOffPart, second.part(2*settling, backEnd, true), "the first one is silent")
	second.ApplyNotice(2*settling, first.tenure.self, BackEndLimit{BackEnd: backEnd, Limit: named(1)})
	require.Equal(t, newPart, second.part(2*settling, backEnd, true))

	second.SetProcesses(2*settling, []string{second.tenure.self})
	require.Equal(t, newPart, second.part(3*settling-time.Second, backEnd, true), "it hears of the former first one, which is not listed")
	require.Equal(t, FullFraction, second.part(3*settling, backEnd, true))
	stranger := NewMember("c")
	require.Zero(t, stranger.part(settling, backEnd, true))
	_, keeps := stranger.HandleRequest(settling, ask, true, middle)
	require.False(t, keeps)
}

func TestLimitsOnTheWire(t *testing.T) {
	for _, each := range []BackEndLimit{{BackEnd: 1, Limit: named(0.5)}, {BackEnd: 2}, {BackEnd: 3, Limit: named(0)}} {
		read, valid := FromWire(ToWire(each))
		require.True(t, valid)
		require.Equal(t, each, read)
	}
	_, valid := FromWire(&v1.NamedLimit{Named: true, PerSecond: -1})
	require.False(t, valid)
}
