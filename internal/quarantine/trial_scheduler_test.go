package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newQuarantinedRequest returns a ledger with one quarantined request.
func newQuarantinedRequest() (*Ledger, *Suspect) {
	ledger := NewLedger()
	for replica := range uint64(QuarantineThreshold) {
		ledger.RecordCrash(numberedSignature(1), replica)
	}
	return ledger, ledger.Suspects()[0]
}

func TestTrialWaitsGrow(t *testing.T) {
	ledger, suspect := newQuarantinedRequest()
	scheduler := NewTrialScheduler()
	require.False(t, scheduler.TrialDue(time.Hour, suspect), "the leader has only just started")
	now := 5 * time.Minute
	for _, wait := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour, time.Hour} {
		scheduler.Observe(now, ledger)
		require.False(t, scheduler.TrialDue(now+wait-1, suspect))
		scheduler.Observe(now+wait, ledger)
		require.True(t, scheduler.TrialDue(now+wait, suspect), "after %s", wait)
		now += wait
		require.True(t, ledger.GrantTrial(suspect.Signature, suspect.Trials))
		scheduler.Observe(now, ledger)
		require.False(t, scheduler.TrialDue(now, suspect), "it was granted")
		now += time.Second
		ledger.RecordCrash(suspect.Signature, uint64(now)) // the trial crashed its replica
	}
}

// A request that crashes every replica costs five replicas in the first minutes, three of them in trials.
func TestTrialsCostFewReplicas(t *testing.T) {
	ledger, suspect := newQuarantinedRequest()
	scheduler := NewTrialScheduler()
	for now := time.Duration(0); now < 5*time.Minute; now += 50 * time.Millisecond {
		scheduler.Observe(now, ledger)
		if scheduler.TrialDue(now, suspect) && ledger.GrantTrial(suspect.Signature, suspect.Trials) {
			ledger.RecordCrash(suspect.Signature, uint64(now))
		}
	}
	require.Len(t, suspect.Replicas, 5)
}

func TestNewLeaderRestartsWait(t *testing.T) {
	ledger, suspect := newQuarantinedRequest()
	first := NewTrialScheduler()
	first.Observe(0, ledger)
	require.True(t, first.TrialDue(time.Minute, suspect))
	second := NewTrialScheduler()
	second.Observe(time.Minute, ledger)
	require.False(t, second.TrialDue(time.Minute, suspect))
	require.True(t, second.TrialDue(time.Minute+3*time.Second, suspect))
}

func TestIdleRequestsExpire(t *testing.T) {
	ledger, _ := newQuarantinedRequest()
	ledger.RecordCrash(numberedSignature(2), 7)
	scheduler := NewTrialScheduler()
	scheduler.Observe(0, ledger)
	require.Empty(t, scheduler.ExpiredEntries(suspectRetention-1, ledger))
	require.Equal(t, []Signature{numberedSignature(2)}, scheduler.ExpiredEntries(suspectRetention, ledger))
	ledger.RecordCrash(numberedSignature(2), 8)
	scheduler.Observe(suspectRetention, ledger)
	require.Empty(t, scheduler.ExpiredEntries(suspectRetention, ledger), "another replica has crashed under it")
	require.Equal(t, []Signature{numberedSignature(1)}, scheduler.ExpiredEntries(quarantineRetention, ledger))
	require.Equal(t, []Signature{numberedSignature(1), numberedSignature(2)}, scheduler.ExpiredEntries(suspectRetention+quarantineRetention, ledger))
}
