package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// TestFaultsAtEachStepOfAChange injects a fault at each step of a role change. The engine
// must reach the pinned role and hold one order at a time, and the log must record the
// outcome of each order.
func TestFaultsAtEachStepOfAChange(t *testing.T) {
	steps := []struct {
		name string
		// reached reports whether the change has reached the step.
		reached func(*testCluster, *testEngine) bool
	}{
		{"order committed", func(w *testCluster, _ *testEngine) bool {
			leader := w.leader()
			return leader != nil && leader.core.state.Engine("engine-1").GetOutstanding() != nil
		}},
		{"engine drains", func(_ *testCluster, e *testEngine) bool {
			return e.machine.State(1).OrderPhase == enginecontract.PhaseDraining
		}},
		{"engine changes", func(_ *testCluster, e *testEngine) bool {
			return e.machine.State(0).OrderPhase == enginecontract.PhaseChanging
		}},
		{"engine is done", func(_ *testCluster, e *testEngine) bool {
			return e.machine.State(0).OrderPhase == enginecontract.PhaseDone
		}},
	}
	faults := []struct {
		name  string
		cause func(*testCluster, *testEngine)
	}{
		{"none", func(*testCluster, *testEngine) {}},
		{"leader crashes and stays away", func(w *testCluster, _ *testEngine) { w.crash(w.leader().name) }},
		{"leader crashes and restarts", func(w *testCluster, _ *testEngine) {
			name := w.leader().name
			w.crash(name)
			w.after(300*time.Millisecond, func() { w.start(name) })
		}},
		{"leader is cut off and comes back", func(w *testCluster, _ *testEngine) {
			old := w.leader()
			old.cut = true
			w.after(8*time.Second, func() { old.cut = false })
		}},
		{"engine restarts", func(w *testCluster, _ *testEngine) { w.restartEngine("engine-1") }},
		{"engine is silent for long", func(w *testCluster, e *testEngine) {
			e.down = true
			w.after(8*time.Second, func() { e.down = false })
		}},
		{"leader and engine crash together", func(w *testCluster, _ *testEngine) {
			name := w.leader().name
			w.crash(name)
			w.restartEngine("engine-1")
			w.after(5*time.Second, func() { w.start(name) })
		}},
	}
	for _, step := range steps {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				w := newTestCluster(t, 3, nil)
				engine := w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
				engine.inFlight = 1
				w.apply("request-1", serviceObjects()...)
				w.run(3 * time.Second)
				w.apply("request-2", pinObjectFor("engine-1", v1.Role_ROLE_DECODE))
				finishWorkLater(w, engine)
				w.until(step.name, func() bool { return step.reached(w, engine) })
				fault.cause(w, engine)
				finishWorkLater(w, engine)
				w.until("pinned role", func() bool {
					leader := w.leader()
					if leader == nil || engine.machine.Role() != enginecontract.RoleDecode {
						return false
					}
					record := leader.core.state.Engine("engine-1")
					return record.Outstanding == nil && record.State.Role == v1.Role_ROLE_DECODE
				})
				requireSoundOrders(t, w)
			})
		}
	}
}

// finishWorkLater ends the engine's requests in flight after a second.
func finishWorkLater(w *testCluster, engine *testEngine) {
	w.after(time.Second, func() { engine.inFlight = 0 })
}

// requireSoundOrders compares the orders that engines accepted with the log: every accepted
// order must be committed, and the fences must never decrease.
func requireSoundOrders(t *testing.T, w *testCluster) {
	t.Helper()
	committed := map[enginecontract.Fence]bool{}
	for _, ended := range w.leader().core.state.Orders("") {
		committed[enginecontract.Fence{Epoch: ended.Order.Epoch, Sequence: ended.Order.Sequence}] = true
		require.NotEqual(t, v1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED, ended.Outcome)
	}
	last := enginecontract.Fence{}
	for _, order := range w.accepted {
		require.True(t, committed[order.Fence], "order %v is not in the log", order.Fence)
		require.False(t, order.Fence.Less(last), "order %v after %v", order.Fence, last)
		last = order.Fence
	}
}
