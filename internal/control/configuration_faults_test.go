package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

func modelVersion(version int) *v1.Object {
	return &v1.Object{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_MODEL, Name: "base"},
		Spec: &v1.Object_Model{Model: &v1.Model{Version: fmt.Sprint(version)}}}
}

func submission(operator, requestID string, number uint64, objects ...*v1.Object) func(CallID) Input {
	return func(id CallID) Input {
		return ApplyReceived{Call: id, Operator: operator, Objects: objects,
			Request: &v1.ApplyRequest{RequestId: requestID, ChangeNumber: number}}
	}
}

func gatewaySync(revision uint64) *v1.SyncRequest {
	return &v1.SyncRequest{Node: &v1.NodeIdentity{Name: "gateway-1", Zone: "zone-a", Incarnation: 1}, Revision: revision}
}

func TestRacingOperatorsWithEqualChangeNumbers(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.waitLeader()
	first := w.send(leader, submission("alice", "a", 7, modelVersion(1)))
	second := w.send(leader, submission("bob", "b", 7, modelVersion(2)))
	w.run(time.Second)
	won := w.answers[first].Response.(*v1.ApplyResponse)
	lost := w.answers[second].Response.(*v1.ApplyResponse)
	require.Equal(t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, won.Outcome)
	require.Equal(t, v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN, lost.Outcome)
	require.Equal(t, "alice", lost.Winner)
	require.Equal(t, won.Revision, lost.WinnerRevision)
}

// TestResendGetsTheFirstAnswer loses the answer to a submission by different faults at
// different times, and sends the submission again.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	cases := []struct {
		name  string
		cause func(*testCluster, *testController)
	}{
		{"at the same leader", func(*testCluster, *testController) {}},
		{"after the leader crashed", func(w *testCluster, leader *testController) { w.crash(leader.name) }},
		{"after the leader was cut off", func(_ *testCluster, leader *testController) { leader.cut = true }},
		{"after all restarted", func(w *testCluster, _ *testController) {
			for _, name := range w.names {
				w.crash(name)
				w.start(name)
			}
		}},
	}
	for _, test := range cases {
		for _, moment := range []time.Duration{0, linkDelay, 3 * linkDelay, 10 * linkDelay, time.Second} {
			t.Run(fmt.Sprintf("%s, %v later", test.name, moment), func(t *testing.T) {
				w := newTestCluster(t, 3, nil)
				leader := w.waitLeader()
				w.send(leader, submission("alice", "request", 5, modelVersion(1)))
				w.run(moment)
				test.cause(w, leader)
				w.run(5 * time.Second)
				for range 2 {
					answer := w.call(w.waitLeader(), submission("alice", "request", 5, modelVersion(1)))
					require.NoError(t, answer.Err)
					response := answer.Response.(*v1.ApplyResponse)
					require.Equal(t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, response.Outcome, response.Detail)
					require.Equal(t, uint64(1), response.Revision)
				}
				require.Equal(t, uint64(1), w.leader().core.state.Revision())
			})
		}
	}
}

// TestRestartAfterMissedChanges lets a controller miss 1,000 changes and catch up from
// the log or from a snapshot.
func TestRestartAfterMissedChanges(t *testing.T) {
	cases := []struct {
		name      string
		configure func(*Config)
	}{
		{"by the log", func(*Config) {}},
		{"by a snapshot", func(config *Config) { config.SnapshotEntries, config.RetainedEntries = 200, 1 }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newTestCluster(t, 3, test.configure)
			leader := w.waitLeader()
			missing := w.names[0]
			if missing == leader.name {
				missing = w.names[1]
			}
			w.crash(missing)
			const changes = 1000
			var last CallID
			for i := range changes {
				last = w.send(leader, submission("alice", fmt.Sprint(i), 0, modelVersion(i)))
				w.run(2 * time.Millisecond)
			}
			w.until("last answer", func() bool { _, answered := w.answers[last]; return answered })
			w.start(missing)
			started := w.now
			w.until("catching up", func() bool { return w.controllers[missing].core.state.Revision() == changes })
			require.Less(t, w.now-started, 3*time.Second, "virtual time")
			mine, err := w.controllers[missing].core.state.Snapshot()
			require.NoError(t, err)
			w.run(time.Second)
			theirs, err := leader.core.state.Snapshot()
			require.NoError(t, err)
			require.Equal(t, theirs, mine)
			answer := w.sync(w.controllers[missing], gatewaySync(1))
			require.Equal(t, uint64(changes), answer.Revision)
			require.Len(t, answer.Objects, 1, "a node that missed all these revisions gets one object")
			require.False(t, answer.Behind)
		})
	}
}

// isolateLaggingController returns a controller that lags by one revision and is cut off from its peers.
func isolateLaggingController(w *testCluster) *testController {
	leader := w.waitLeader()
	w.apply("one", modelVersion(1))
	w.run(time.Second)
	for _, name := range w.names {
		if name != leader.name {
			w.controllers[name].cut = true
			w.apply("two", modelVersion(2))
			w.run(5 * time.Second)
			return w.controllers[name]
		}
	}
	return nil
}

func TestLaggingControllerNeverLowersANodesRevision(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	behind := isolateLaggingController(w)
	require.Equal(t, uint64(1), behind.core.state.Revision())
	request := gatewaySync(2)
	request.UnknownKeyHashes = []string{strings.Repeat("ab", 32)}
	answer := w.sync(behind, request)
	require.Equal(t, uint64(2), answer.Revision)
	require.Empty(t, answer.Objects)
	require.Empty(t, answer.RejectedKeyHashes)
	require.True(t, answer.Behind)
	require.True(t, w.sync(behind, gatewaySync(1)).Behind, "a controller without a leader reports that it may be behind")
	require.False(t, w.sync(w.leader(), gatewaySync(1)).Behind)
}

func TestRevisionsDecreaseWithoutTheSafeguard(t *testing.T) {
	w := newTestCluster(t, 3, func(config *Config) { config.Safeguards = safeguard.Without(SafeguardRevisionOrder) })
	answer := w.sync(isolateLaggingController(w), gatewaySync(2))
	require.Equal(t, uint64(1), answer.Revision)
	require.Equal(t, "1", answer.Objects[0].GetModel().Version)
}

// TestDeposedLeaderAnswersNothing calls a leader that was paused until another controller had taken over. The
// call is the first input of the old leader after the pause.
func TestDeposedLeaderAnswersNothing(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	old := w.waitLeader()
	w.apply("one", modelVersion(1))
	old.cut = true
	old.incarnation++ // it gets no more ticks
	w.until("next leader", func() bool { return w.leader() != nil && w.leader() != old })
	w.apply("two", modelVersion(2))
	require.True(t, old.core.consensus.IsLeader(), "the old leader does not know of its successor yet")
	answer := w.call(old, func(id CallID) Input {
		return PlanReceived{Call: id, Request: &v1.PlanRequest{}, Objects: []*v1.Object{modelVersion(2)}}
	})
	var notLeader *NotLeaderError
	require.ErrorAs(t, answer.Err, &notLeader)
	require.True(t, w.sync(old, gatewaySync(1)).Behind)
}

// suspendLeader returns a leader whose machine was suspended until another leader had taken over and has
// just resumed, and the time for which it was suspended. A revision was accepted meanwhile.
func suspendLeader(w *testCluster) (old *testController, away time.Duration) {
	old = w.waitLeader()
	w.apply("one", modelVersion(1))
	began := w.now
	old.cut = true
	old.incarnation++ // it gets no more ticks
	w.until("next leader", func() bool { return w.leader() != nil && w.leader() != old })
	w.apply("two", modelVersion(2))
	return old, w.now - began
}

// A leader whose machine was suspended does not answer as a leader, because its clock counts the suspension.
func TestALeaderThatWasSuspendedAnswersNothing(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	old, _ := suspendLeader(w)
	require.False(t, old.core.HoldsLease(w.now))
	require.True(t, w.sync(old, gatewaySync(1)).Behind)
	answer := w.call(old, func(id CallID) Input { return TrialRequested{Call: id, Signature: crashingSignature[:]} })
	var notLeader *NotLeaderError
	require.ErrorAs(t, answer.Err, &notLeader)
}

// With a clock that does not count suspensions the lease does not hold: two controllers lead at once, and the
// one that was suspended answers with old state.
func TestAClockThatDoesNotCountSuspensionsBreaksTheLease(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	old, away := suspendLeader(w)
	old.uncountedSuspension = away
	require.True(t, old.core.HoldsLease(w.now-away), "the old leader considers its lease valid")
	require.NotNil(t, w.leader())
	answer := w.sync(old, gatewaySync(1))
	require.False(t, answer.Behind)
	require.Equal(t, uint64(1), answer.Revision, "the answer is outdated")
}
