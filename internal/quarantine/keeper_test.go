package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// held returns a ledger in which one request is held.
func held() (*Ledger, *Suspect) {
	ledger := NewLedger()
	for replica := range uint64(QuarantineThreshold) {
		ledger.RecordCrash(numbered(1), replica)
	}
	return ledger, ledger.Suspects()[0]
}

func TestTrialsBecomeRarer(t *testing.T) {
	ledger, suspect := held()
	keeper := NewTrialScheduler()
	require.False(t, keeper.TrialDue(time.Hour, suspect), "the leader has just begun")
	now := 5 * time.Minute
	for _, wait := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour, time.Hour} {
		keeper.Observe(now, ledger)
		require.False(t, keeper.TrialDue(now+wait-1, suspect))
		keeper.Observe(now+wait, ledger)
		require.True(t, keeper.TrialDue(now+wait, suspect), "after %s", wait)
		now += wait
		require.True(t, ledger.GrantTrial(suspect.Signature, suspect.Trials))
		keeper.Observe(now, ledger)
		require.False(t, keeper.TrialDue(now, suspect), "it was granted")
		now += time.Second
		ledger.RecordCrash(suspect.Signature, uint64(now)) // the trial ended its replica
	}
}

// Within the first minutes a request that ends every replica ends five in all, and no more than two after
// the third.
func TestTrialsCostFewReplicas(t *testing.T) {
	ledger, suspect := held()
	keeper := NewTrialScheduler()
	for now := time.Duration(0); now < 5*time.Minute; now += 50 * time.Millisecond {
		keeper.Observe(now, ledger)
		if keeper.TrialDue(now, suspect) && ledger.GrantTrial(suspect.Signature, suspect.Trials) {
			ledger.RecordCrash(suspect.Signature, uint64(now))
		}
	}
	require.Len(t, suspect.Replicas, 5)
}

func TestANewLeaderWaitsAnew(t *testing.T) {
	ledger, suspect := held()
	first := NewTrialScheduler()
	first.Observe(0, ledger)
	require.True(t, first.TrialDue(time.Minute, suspect))
	second := NewTrialScheduler()
	second.Observe(time.Minute, ledger)
	require.False(t, second.TrialDue(time.Minute, suspect))
	require.True(t, second.TrialDue(time.Minute+3*time.Second, suspect))
}

func TestRequestsThatDoNotComeAgainAreForgotten(t *testing.T) {
	ledger, _ := held()
	ledger.RecordCrash(numbered(2), 7)
	keeper := NewTrialScheduler()
	keeper.Observe(0, ledger)
	require.Empty(t, keeper.ExpiredEntries(forgetSuspect-1, ledger))
	require.Equal(t, []Signature{numbered(2)}, keeper.ExpiredEntries(forgetSuspect, ledger))
	ledger.RecordCrash(numbered(2), 8)
	keeper.Observe(forgetSuspect, ledger)
	require.Empty(t, keeper.ExpiredEntries(forgetSuspect, ledger), "another replica has ended under it")
	require.Equal(t, []Signature{numbered(1)}, keeper.ExpiredEntries(forgetHeld, ledger))
	require.Equal(t, []Signature{numbered(1), numbered(2)}, keeper.ExpiredEntries(forgetSuspect+forgetHeld, ledger))
}
