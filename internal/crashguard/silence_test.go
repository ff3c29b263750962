package crashguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// When the leader no longer supports quarantine, the last list stays valid for localQuarantineTime and then expires: nobody
// grants trials in that time, and a request that was quarantined by coincidence must be served again.
func TestHeldRequestsOutliveASilentLeaderForAWhile(t *testing.T) {
	now := time.Duration(0)
	guard := New(Options{Now: func() time.Duration { return now }, Observer: silentObserver{}})
	signature := quarantine.SignatureOf("", "", "", []byte("held"))
	requests := []*v1.HeldRequest{{Signature: signature[:]}}
	guard.ApplyQuarantine(Statement{Version: 7, Requests: requests})
	for ; now < localQuarantineTime; now += time.Second {
		guard.MarkQuarantineUnsupported()
		require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	}
	require.False(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	require.Equal(t, uint64(7), guard.QuarantineVersion())
	guard.ApplyQuarantine(Statement{Version: 7})
	require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}), "the same version is sent without its content")
	guard.MarkQuarantineUnsupported()
	require.True(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
	guard.ApplyQuarantine(Statement{})
	require.False(t, guard.IsQuarantined(quarantine.Content{Request: signature}))
}

type silentObserver struct{}

func (silentObserver) ReplicaCrashed(string, int)              {}
func (silentObserver) RequestQuarantined(quarantine.Signature) {}
func (silentObserver) LeaderCallFailed(error)                  {}

// Guards against crashes that the leader learns of seconds after it answers again: the wait between two reports grew with the
// time for which no controller answered.
func TestCrashIsReportedSoonAfterTheLeaderAnswersAgain(t *testing.T) {
	const reportedAfter = time.Second
	for _, length := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second} {
		slowest := time.Duration(0)
		for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
			withGuard(t, func(_ *testing.T, guard *testGuard) {
				guard.leader.setSilent(true)
				guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("a", ProbeGone), 0)
				time.Sleep(length + phase)
				guard.leader.setSilent(false)
				ended := time.Now()
				for guard.leader.crashes(crashing) == 0 {
					time.Sleep(time.Millisecond)
				}
				slowest = max(slowest, time.Since(ended))
			})
		}
		t.Logf("after %s without an answer a crash is reported within %s", length, slowest)
		assert.LessOrEqual(t, slowest, reportedAfter, "after %s", length)
	}
}
