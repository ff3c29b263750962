package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// lateSignature is the signature of a request under which a replica crashes around a new agreement.
var lateSignature = quarantine.SignatureOf("tenant", "POST", "/a/late", []byte("ends its replica, too"))

// sendCrash reports a replica's crash to a controller without waiting for the answer.
func (w *testCluster) sendCrash(controller *testController, signature quarantine.Signature, replica uint64) CallID {
	return w.send(controller, func(id CallID) Input {
		return ReplicaCrashesReceived{Call: id, Crashes: []*v1.ReplicaEnd{{Signature: signature[:], Replica: replica}}}
	})
}

// runUntilAgreementProposed runs until a leader has proposed an agreement that it has not applied, and returns the
// leader.
func (w *testCluster) runUntilAgreementProposed() *testController {
	w.t.Helper()
	for range 60_000 {
		if leader := w.leader(); leader != nil && leader.core.formats.proposedIndex > leader.core.applied {
			return leader
		}
		w.run(linkDelay)
	}
	w.t.Fatal("no agreement is proposed within a minute")
	return nil
}

// waitFormat waits until commands of a format, and of no higher one, take effect at all controllers.
func (w *testCluster) waitFormat(number formats.Number) {
	w.t.Helper()
	w.until("agreement", func() bool {
		for _, controller := range w.controllers {
			if controller.core == nil || controller.core.State().AgreedFormat() != number {
				return false
			}
		}
		return true
	})
}

// requireCrashes checks that a report was acknowledged, and that the leader knows the number of replicas that crashed
// under a request.
func (w *testCluster) requireCrashes(call CallID, signature quarantine.Signature, replicas int) {
	w.t.Helper()
	answer, answered := w.answers[call]
	require.True(w.t, answered)
	require.NoError(w.t, answer.Err)
	suspect := w.waitLeader().core.suspects().Suspect(signature)
	require.NotNil(w.t, suspect, "the acknowledged report is lost")
	require.Len(w.t, suspect.Replicas, replicas)
}

// requireEqualStates checks that all controllers hold the same replicated state.
func (w *testCluster) requireEqualStates() {
	w.t.Helper()
	w.run(time.Second)
	leaders, err := w.waitLeader().core.State().Snapshot()
	require.NoError(w.t, err)
	for _, name := range w.names {
		state, err := w.controllers[name].core.State().Snapshot()
		require.NoError(w.t, err)
		require.Equal(w.t, leaders, state, name)
	}
}

// The first agreement of a fresh quorum replaced the leader's ledger by the one that the leader had when it proposed the
// agreement. Reports of crashes that were acknowledged until the agreement took effect were lost.
func TestReportsDuringTheFirstAgreementSurvive(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.runUntilAgreementProposed()
	first := w.sendCrash(leader, lateSignature, 1)
	second := w.sendCrash(leader, lateSignature, 2)
	w.waitFormat(formats.NewestStored)
	w.run(2 * TickInterval)
	w.requireCrashes(first, lateSignature, 2)
	w.requireCrashes(second, lateSignature, 2)
	require.True(t, w.leader().core.State().Suspects().IsQuarantined(lateSignature))
	w.requireEqualStates()
}

// The same fault at the end of an upgrade: the leader had already acknowledged one crash under the first format.
func TestReportsDuringTheAgreementAfterAnUpgradeSurvive(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	former := w.controllers[w.names[0]]
	w.rebuild(former, 0)
	leader := w.waitLeaderOtherThan(former)
	early := w.sendCrash(leader, lateSignature, 1)
	w.requireCrashes(early, lateSignature, 1)
	w.rebuild(former, time.Second)
	leader = w.runUntilAgreementProposed()
	late := w.sendCrash(leader, lateSignature, 2)
	w.waitFormat(formats.NewestStored)
	w.run(2 * TickInterval)
	w.requireCrashes(late, lateSignature, 2)
	w.requireEqualStates()
}

// Under an agreement the reports are entries of the log. The next agreement that was proposed while such an entry was not
// yet applied lost the entry's effect, because the agreement carried the ledger without it. The log holds an agreement on
// the third format, as a former build wrote it, which the leader replaces by one on the second.
func TestReportsInTheLogBeforeAnAgreementSurvive(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitFormat(formats.NewestStored)
	leader := w.waitLeader()
	leader.core.proposeAgreement(formats.Third)
	for attempts := 0; leader.core.State().AgreedFormat() != formats.Third; attempts++ {
		require.Less(t, attempts, 1000)
		w.run(linkDelay)
	}
	require.False(t, leader.core.mustHoldSuspectChanges(), "the report is an entry before the agreement")
	report := w.sendCrash(leader, lateSignature, 1)
	w.step(leader, Tick{TimeOfDayMs: testWallOrigin + w.now.Milliseconds()})
	require.Equal(t, formats.Third, leader.core.State().AgreedFormat())
	require.True(t, leader.core.mustHoldSuspectChanges(), "another agreement is needed")
	w.waitFormat(formats.NewestStored)
	w.run(2 * TickInterval)
	w.requireCrashes(report, lateSignature, 1)
	w.requireEqualStates()
}

// An agreement on the first format ends the replicated ledger. A report that was proposed after the agreement and applied
// under it had no effect, but was acknowledged.
func TestReportsDuringTheEndOfAnAgreementSurvive(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitFormat(formats.NewestStored)
	former := w.controllers[w.names[0]]
	w.waitLeaderOtherThan(former)
	w.reportCrash(lateSignature, 1)
	w.rebuild(former, 0)
	leader := w.runUntilAgreementProposed()
	late := w.sendCrash(leader, lateSignature, 2)
	w.until("the end of the agreement", func() bool { return leader.core.State().AgreedFormat() == formats.First })
	w.run(2 * TickInterval)
	w.requireCrashes(late, lateSignature, 2)
	require.Len(t, w.watchQuarantined(), 1)
}

// A leader that loses its leadership before its agreement is committed must not acknowledge reports that the agreement
// does not carry. What it acknowledged before the proposal survives if the next leader has the agreement's entry.
func TestReportsAroundAnAgreementOfAFormerLeader(t *testing.T) {
	for name, replicated := range map[string]bool{"the next leader has the agreement": true, "nobody else has the agreement": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 3, nil)
			older := w.controllers[w.names[0]]
			w.rebuild(older, 0)
			leader := w.waitLeaderOtherThan(older)
			early := w.sendCrash(leader, crashingSignature, 1)
			w.requireCrashes(early, crashingSignature, 1)
			w.rebuild(older, time.Second)
			w.lose = func(from, _ string) bool {
				return !replicated && from == leader.name && leader.core.formats.proposedIndex > leader.core.applied
			}
			require.Equal(t, leader, w.runUntilAgreementProposed())
			late := w.sendCrash(leader, lateSignature, 1)
			leader.cut = true
			w.until("another leader", func() bool { next := w.leader(); return next != nil && next != leader })
			w.until("answer", func() bool { _, answered := w.answers[late]; return answered })
			require.ErrorIs(t, w.answers[late].Err, errLostLeadership)
			w.lose = func(string, string) bool { return false }
			leader.cut = false
			w.waitFormat(formats.NewestStored)
			if replicated {
				w.requireCrashes(early, crashingSignature, 1)
			}
			w.requireEqualStates()
		})
	}
}
