package returnplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMoreUrgentCallersComeFirst offers twice the capacity, a quarter of it by the more urgent level.
func TestMoreUrgentCallersComeFirst(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var byLevel [2]waits
	for i := range 3 * 360 {
		now := time.Duration(i) * time.Second / 360
		level := min(i%4, 1)
		at, promised := owner.refuse(now, room, 7, level)
		if now >= time.Second { // the demand is known
			byLevel[level].add(at-now, promised)
		}
	}
	t.Log("mean wait by level:", byLevel[0].mean(), byLevel[1].mean(), "promised:", byLevel[0].promised, byLevel[1].promised)
	require.Equal(t, byLevel[0].asked, byLevel[0].promised)
	require.Less(t, byLevel[0].mean(), 6*span)
	require.Greater(t, byLevel[1].mean(), time.Second)
}

// TestPlacesOfUrgentCallersAreLeftOnce guards against slots that are reserved for urgent callers who already have
// promises.
func TestPlacesOfUrgentCallersAreLeftOnce(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	for i := range 9 {
		owner.refuse(time.Duration(i)*5*time.Millisecond, room, 7, 0) // the first span is full
	}
	require.Equal(t, 9, countBySpan(owner.plan)[span])
	for signature, promise := range owner.plan.promises.bySignature {
		if signature <= 4 {
			owner.plan.promises.remove(promise[0])
		}
	}
	expected := countBetween(owner.plan.demand.before(45*time.Millisecond, firstRank(1))*(1+catchUpShare), span, 2*span)
	require.Positive(t, expected)
	require.Less(t, expected, 9)
	for range 20 {
		owner.refuse(45*time.Millisecond, room, 7, 1)
	}
	require.Equal(t, min(9, 5+9-max(expected, 5)), countBySpan(owner.plan)[span])
}

// TestLongerWaitingCallersComeFirst offers twice the capacity by callers of one level of which every fourth has waited.
func TestLongerWaitingCallersComeFirst(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var waited, fresh waits
	for i := range 3 * 360 {
		now := time.Duration(i) * time.Second / 360
		caller, kind := Caller{Tenant: 7, FirstRefusedAt: now}, &fresh
		if i%4 == 0 {
			caller.FirstRefusedAt, kind = now-2*time.Second, &waited
		}
		at, promised := owner.refuseCaller(now, room, caller)
		if now >= time.Second { // the demand is known
			kind.add(at-now, promised)
		}
	}
	t.Log("mean wait:", waited.mean(), fresh.mean())
	require.Equal(t, waited.asked, waited.promised)
	require.Less(t, waited.mean(), 6*span)
	require.Greater(t, fresh.mean(), time.Second)
}

// TestTenantsGetFairShares offers more than twice the capacity by one large tenant, and a tenth of it by each of three
// small ones. The small ones' returns must not queue behind the large one's, and the large one gets what they leave.
func TestTenantsGetFairShares(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var small, large waits
	for i := range 4 * 540 {
		now := time.Duration(i) * time.Second / 540
		tenant, kind := uint64(1), &large
		if i%10 == 0 {
			tenant, kind = uint64(2+i/10%3), &small
		}
		at, promised := owner.refuse(now, room, tenant, 0)
		if now >= time.Second { // the demand is known
			kind.add(at-now, promised)
		}
	}
	t.Log("small:", small, small.mean(), "large:", large, large.mean())
	require.Equal(t, small.asked, small.promised)
	require.Less(t, small.mean(), 4*span)
	booked := 0
	for start, count := range countBySpan(owner.plan) {
		if start >= 4*time.Second && start < 6*time.Second {
			booked += count
		}
	}
	// Each second 54 promises go to the small tenants.
	require.Greater(t, float64(booked), 0.95*2*(180*(1-catchUpShare)-54), "the large tenant gets the share that small ones do not use")
}

// TestTenantsOfLessUrgentLevelsShareWhatIsLeft guards against fair shares that count the slots of urgent callers.
func TestTenantsOfLessUrgentLevelsShareWhatIsLeft(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	for i := range 2 * 720 {
		now := time.Duration(i) * time.Second / 720
		tenant, level := uint64(1), 1
		switch i % 16 {
		case 0, 8: // 90 a second
			tenant, level = 9, 0
		case 1, 5, 9, 13: // an equal part of what is left, for each of two tenants, is fewer
			tenant = 2
		}
		owner.refuse(now, room, tenant, level)
	}
	left := 180 - owner.plan.demand.before(2*time.Second, firstRank(1))
	require.InDelta(t, 90, left, 10)
	require.InDelta(t, left*(1-catchUpShare)/2, owner.plan.tenants.levels[1].lastFairRate, 5)
}

// TestLongerWaitingCallersOfATenantComeFirst guards against a tenant whose newcomers use up its share before the callers
// that have waited.
func TestLongerWaitingCallersOfATenantComeFirst(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	var waited, fresh waits
	for i := range 3 * 540 {
		now := time.Duration(i) * time.Second / 540
		caller, kind := Caller{Tenant: uint64(i % 2), FirstRefusedAt: now}, &fresh
		if i%10 < 2 {
			caller.FirstRefusedAt, kind = now-2*time.Second, &waited
		}
		at, promised := owner.refuseCaller(now, room, caller)
		if now >= time.Second { // the demand is known
			kind.add(at-now, promised)
		}
	}
	t.Log("mean wait:", waited.mean(), fresh.mean())
	require.Equal(t, waited.asked, waited.promised)
	require.Less(t, waited.mean()*4, fresh.mean())
}

// TestSpacingIsBounded guards against a tenant that gets no more promises after a moment without a share.
func TestSpacingIsBounded(t *testing.T) {
	charged := &account{}
	for _, rate := range []float64{0, 1e-9, -1} {
		charged.charge(time.Second, 0, rate)
		for _, nextAt := range charged.nextAt {
			require.Equal(t, time.Second+horizon, nextAt)
		}
	}
	charged = &account{}
	charged.charge(time.Second, 1, 10)
	require.Zero(t, charged.nextAt[0], "callers that have waited longer come first")
	require.Equal(t, 1100*time.Millisecond, charged.nextAt[1])
}

// TestLargeTenantThatAsksFirstLeavesRoom guards against a burst of one tenant that takes all returns of the next spans.
func TestLargeTenantThatAsksFirstLeavesRoom(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	owner.refuse(0, room, 2, 0) // another tenant is known
	for range 400 {
		owner.refuse(time.Millisecond, room, 1, 0)
	}
	for tenant := range uint64(3) {
		at, promised := owner.refuse(2*time.Millisecond, room, 10+tenant, 0)
		require.True(t, promised)
		require.Less(t, at, 6*span, "tenant %d", tenant)
	}
}

// TestSingleTenantGetsAllPlaces guards against slots that are reserved for tenants that do not exist.
func TestSingleTenantGetsAllPlaces(t *testing.T) {
	owner := newTestOwner()
	for i := range 3 * 540 {
		owner.refuse(time.Duration(i)*time.Second/540, Room{PerSecond: 180}, 1, 0)
	}
	counts := countBySpan(owner.plan)
	for start := 3 * time.Second; start < 5*time.Second; start += span {
		require.Equal(t, countBetween(180, start, start+span), counts[start], start)
	}
}

// TestUrgentDemandLeavesTrueTimes guards against less urgent callers that are told to wait for the end of the horizon.
func TestUrgentDemandLeavesTrueTimes(t *testing.T) {
	owner := newTestOwner()
	room := Room{PerSecond: 180}
	for i := range 200 {
		owner.refuse(time.Duration(i)*time.Second/400, room, 1, 0)
	}
	at, promised := owner.refuse(500*time.Millisecond, room, 1, 1)
	require.False(t, promised, "urgent callers ask for all places")
	require.InDelta(t, 500*time.Millisecond+time.Second*200/180, at, float64(200*time.Millisecond))
}

// TestRanks guards against callers that are ranked by the wrong waiting time.
func TestRanks(t *testing.T) {
	require.Equal(t, firstRank(1), rankOf(1, 4*time.Second))
	require.Equal(t, firstRank(1)+1, rankOf(1, 4*time.Second-1))
	require.Equal(t, firstRank(1)+2, rankOf(1, 250*time.Millisecond))
	require.Equal(t, firstRank(2)-1, rankOf(1, 0))
	require.Equal(t, firstRank(2)-1, rankOf(1, -time.Second))
}
