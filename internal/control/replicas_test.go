package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplicasAreAgreedOnBeforeTheyAreOrdered(t *testing.T) {
	w := newWorld(t, 5, scaled)
	newSite(w, 0, 0)
	platform := w.startReplicas(10)
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 1, "one").Err)
	w.run(30 * time.Second)
	onDemand, spots := platform.kinds()
	require.Zero(t, onDemand)
	require.Equal(t, 45, spots)
	require.NotEmpty(t, platform.arrivals)
	for _, arrival := range platform.arrivals {
		require.True(t, arrival.agreed)
	}
	before := len(platform.arrivals)
	w.run(time.Minute)
	require.Len(t, platform.arrivals, before, "it comes to rest")
}

// A change of leaders orders nothing by itself, however often it comes.
func TestANewLeaderOrdersNoReplicasByItself(t *testing.T) {
	w := newWorld(t, 5, scaled)
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

// Leaders that die or are cut off amid their orders: the next one goes on, a turn later, and what is
// wanted is there in the end.
func TestReplicasOutliveTheLossOfLeaders(t *testing.T) {
	for _, looks := range []bool{true, false} {
		for _, lose := range []bool{true, false} {
			w := newWorld(t, 5, scaled)
			newSite(w, 0, 0)
			platform := w.startReplicas(10)
			platform.looks, platform.lose = looks, lose
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
			onDemand, spots := platform.kinds()
			require.Zero(t, onDemand)
			require.Equal(t, 45, spots)
			for index, next := range platform.arrivals[1:] {
				previous := platform.arrivals[index]
				require.GreaterOrEqual(t, next.order.Fence, previous.order.Fence)
				if next.order.Holder != previous.order.Holder {
					require.Greater(t, next.order.Fence, previous.order.Fence)
					require.GreaterOrEqual(t, next.at-previous.at, testTurn)
				}
			}
		}
	}
}
