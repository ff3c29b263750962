package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplicasAreAgreedOnBeforeTheyAreOrdered(t *testing.T) {
	w := newTestCluster(t, 5, withScaling)
	newSite(w, 0, 0)
	platform := w.startReplicas(10)
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 1, "one").Err)
	w.run(30 * time.Second)
	onDemand, spots := platform.countByKind()
	require.Zero(t, onDemand)
	require.Equal(t, 45, spots)
	require.NotEmpty(t, platform.arrivals)
	for _, arrival := range platform.arrivals {
		require.True(t, arrival.agreed)
	}
	before := len(platform.arrivals)
	w.run(time.Minute)
	require.Len(t, platform.arrivals, before, "no further orders follow")
}

// A change of leaders alone causes no orders, however often it happens.
func TestANewLeaderOrdersNoReplicasByItself(t *testing.T) {
	w := newTestCluster(t, 5, withScaling)
	newSite(w, 0, 0)
	platform := w.startReplicas(10)
	require.NoError(t, w.putDocument(w.waitLeader(), 1, "one").Err)
	w.run(30 * time.Second)
	before := len(platform.arrivals)
	for range 3 {
		w.restart(w.leader())
		w.until("another leader", func() bool { return w.leader() != nil })
		w.run(20 * time.Second)
	}
	require.Len(t, platform.arrivals, before)
}

// Leaders crash or are cut off while their orders are in flight. The next leader continues after minimumOrderGap, and
// the desired replicas serve in the end.
func TestReplicasOutliveTheLossOfLeaders(t *testing.T) {
	for _, checksFences := range []bool{true, false} {
		for _, losesAnswers := range []bool{true, false} {
			w := newTestCluster(t, 5, withScaling)
			newSite(w, 0, 0)
			platform := w.startReplicas(10)
			platform.checksFences, platform.losesAnswers = checksFences, losesAnswers
			require.NoError(t, w.putDocument(w.waitLeader(), 1, "one").Err)
			for round := range 3 {
				before := len(platform.arrivals)
				w.until("an order", func() bool { return len(platform.arrivals) > before || round > 0 })
				former := w.leader()
				if round == 1 {
					former.cut = true
					w.after(10*time.Second, func() { former.cut = false })
				} else {
					w.restart(former)
				}
				w.until("another leader", func() bool { leader := w.leader(); return leader != nil && leader != former })
				w.run(2 * time.Second)
			}
			w.run(time.Minute)
			onDemand, spots := platform.countByKind()
			require.Zero(t, onDemand)
			require.Equal(t, 45, spots)
			for index, next := range platform.arrivals[1:] {
				previous := platform.arrivals[index]
				require.GreaterOrEqual(t, next.order.Fence, previous.order.Fence)
				if next.order.Holder != previous.order.Holder {
					require.Greater(t, next.order.Fence, previous.order.Fence)
					require.GreaterOrEqual(t, next.at-previous.at, minimumOrderGap)
				}
			}
		}
	}
}
