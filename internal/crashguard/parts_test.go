package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

var (
	deadlyPart = quarantine.PartSignatureOf("tenant", "deadly")
	systemPart = quarantine.PartSignatureOf("tenant", "system")
)

// requestWith returns the content of a new request with the given parts.
func requestWith(number int, parts ...quarantine.Signature) quarantine.Content {
	return quarantine.Content{Request: quarantine.SignatureOf("tenant", "POST", "/", []byte(fmt.Sprint(number))), Parts: parts}
}

// listParts applies a statement of the controllers that lists suspect parts.
func (g *testGuard) listParts(version uint64, parts ...*v1.SuspectPart) {
	g.ApplyQuarantine(Statement{Version: version, TellsParts: true, Parts: parts})
}

func TestRequestsWithAQuarantinedPartAreKeptAway(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.listParts(1, &v1.SuspectPart{Signature: deadlyPart[:], Quarantined: true, TrialInMs: 10_000}, &v1.SuspectPart{Signature: systemPart[:]})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), requestWith(1, systemPart, deadlyPart)))
		require.True(t, guard.IsQuarantined(requestWith(2, deadlyPart, systemPart)))
		require.Equal(t, Allowed, guard.Admit(t.Context(), requestWith(3, systemPart)), "a suspected part is not kept away")
		require.Equal(t, 10*time.Second, guard.RetryAfter(requestWith(1, deadlyPart)))
		require.Equal(t, QuarantineRetryAfter, guard.RetryAfter(requestWith(3, systemPart)))
		require.Equal(t, 1, guard.QuarantinedPartCount())
		guard.listParts(2)
		require.Equal(t, Allowed, guard.Admit(t.Context(), requestWith(4, deadlyPart)))
	})
}

// Guards against parts of one caller's prompts that are reported once for each request which ran on a crashed back end.
func TestPartsOfACrashAreReportedOnce(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		replica := guard.setProbeResult("one", ProbeGone)
		for number := range 5 {
			guard.RecordSilentRun(requestWith(number, systemPart, quarantine.PartSignatureOf("tenant", fmt.Sprint(number%2))), replica.ID)
		}
		guard.RecordCrash(replica.ID)
		time.Sleep(time.Second)
		require.Len(t, guard.leader.partEnds, 3)
	})
}

// Guards against parts that stay suspected although requests with them run soundly.
func TestSoundRunsOfSuspectPartsAreReported(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		require.Nil(t, guard.TakeSoundRuns())
		guard.RecordSuccess(requestWith(1, systemPart))
		guard.RecordSuccess(requestWith(2))
		time.Sleep(2 * time.Second)
		guard.listParts(1, &v1.SuspectPart{Signature: systemPart[:]}, &v1.SuspectPart{Signature: deadlyPart[:]})
		runs := guard.TakeSoundRuns()
		require.Equal(t, uint32(1), runs.GetCount(), "requests without parts do not count")
		require.Len(t, runs.GetParts(), 1)
		require.Equal(t, systemPart[:], runs.GetParts()[0].GetSignature())
		require.Equal(t, uint32(2000), runs.GetParts()[0].GetAgoMs())
		require.Zero(t, guard.TakeSoundRuns().GetCount(), "the number is reported once")
		require.Len(t, guard.TakeSoundRuns().GetParts(), 1, "a new leader must learn of it, too")
		require.Empty(t, guard.leader.released)

		guard.RecordSuccess(requestWith(3, systemPart))
		time.Sleep(time.Second)
		require.Equal(t, []quarantine.Signature{systemPart}, guard.leader.released, "a later sound run is reported at once")
		time.Sleep(soundRunRetention)
		guard.listParts(2, &v1.SuspectPart{Signature: systemPart[:]})
		require.Empty(t, guard.TakeSoundRuns().GetParts(), "it was too long ago")
	})
}

// An answer that its back end ends by closing the connection proves that the part is sound only if the back end still serves.
func TestUndeclaredEndClearsAPartOnlyIfTheBackEndServes(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.listParts(1, &v1.SuspectPart{Signature: systemPart[:]})
		guard.RecordUndeclaredEnd(requestWith(1, systemPart), guard.setProbeResult("crashed", ProbeGone))
		guard.RecordUndeclaredEnd(requestWith(2, systemPart), guard.setProbeResult("unclear", ProbeUnclear))
		time.Sleep(time.Second)
		require.Empty(t, guard.leader.released)
		guard.RecordUndeclaredEnd(requestWith(3, systemPart), guard.setProbeResult("serving", ProbeServing))
		time.Sleep(time.Second)
		require.Equal(t, []quarantine.Signature{systemPart}, guard.leader.released)
	})
}

// Guards against a request with a deadly part that takes the trial of a sound part in its prompt: a request with the sound part
// alone can release it.
func TestRequestWithSeveralQuarantinedPartsWaitsForOthers(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.leader.granted = 10
		due := func(part quarantine.Signature) *v1.SuspectPart {
			return &v1.SuspectPart{Signature: part[:], Quarantined: true, TrialDue: true}
		}
		guard.listParts(1, due(deadlyPart), due(systemPart))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), requestWith(1, systemPart, deadlyPart)))
		require.Equal(t, Trial, guard.Admit(t.Context(), requestWith(2, systemPart)))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), requestWith(3, systemPart)), "each trial is taken once")
		guard.listParts(2, due(deadlyPart), due(systemPart))
		time.Sleep(sharedTrialDelay)
		require.Equal(t, Trial, guard.Admit(t.Context(), requestWith(4, systemPart, deadlyPart)), "no request with one of them came")
		require.Equal(t, 3, guard.leader.trials)
	})
}

// While no controller answers, a node keeps parts away by what it saw itself.
func TestPartIsKeptAwayWhileNoControllerAnswers(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.leader.setSilent(true)
		guard.RecordSuccess(requestWith(0, systemPart))
		for number := range quarantine.SoundPartThreshold {
			if number >= quarantine.PartThreshold {
				require.True(t, guard.IsQuarantined(requestWith(100, deadlyPart)))
			}
			require.False(t, guard.IsQuarantined(requestWith(101, systemPart)))
			guard.RecordBrokenRun(requestWith(1+number, systemPart, deadlyPart), guard.setProbeResult(fmt.Sprint(number), ProbeGone), time.Second)
			time.Sleep(time.Second)
		}
		require.True(t, guard.IsQuarantined(requestWith(102, systemPart)))
		time.Sleep(localQuarantineTime)
		require.False(t, guard.IsQuarantined(requestWith(103, deadlyPart)))
		guard.leader.setSilent(false)
	})
}

// A leader of a former build lists the signatures of parts as if they were requests, and does not tell which parts are suspect.
func TestPartsOutliveALeaderThatDoesNotKnowThemForAWhile(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.listParts(1, &v1.SuspectPart{Signature: deadlyPart[:], Quarantined: true})
		guard.ApplyQuarantine(Statement{Version: 2, Requests: []*v1.HeldRequest{{Signature: deadlyPart[:]}, {Signature: systemPart[:], TrialDue: true}}})
		require.True(t, guard.IsQuarantined(requestWith(1, deadlyPart)))
		require.False(t, guard.IsQuarantined(requestWith(2, systemPart)))
		require.Zero(t, guard.QuarantinedCount())
		time.Sleep(localQuarantineTime)
		require.False(t, guard.IsQuarantined(requestWith(3, deadlyPart)))
		guard.listParts(3, &v1.SuspectPart{Signature: deadlyPart[:], Quarantined: true})
		require.True(t, guard.IsQuarantined(requestWith(4, deadlyPart)))
	})
}
