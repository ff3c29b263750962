package crashguard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// testLeader quarantines requests as the controllers do. While silent it does not answer.
type testLeader struct {
	mutex    sync.Mutex
	ledger   *quarantine.Ledger
	silent   bool
	trials   int
	granted  int
	released []quarantine.Signature
	// partEnds are the reported crashes by parts of prompts.
	partEnds []*v1.ReplicaEnd
}

var errSilent = errors.New("no controller answers")

// simulateCall takes the time of a call. It fails when the context ends while the leader is silent.
func (l *testLeader) simulateCall(ctx context.Context) error {
	time.Sleep(10 * time.Millisecond)
	l.mutex.Lock()
	silent := l.silent
	l.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return errSilent
	}
	return nil
}

func (l *testLeader) ReportReplicaEnds(ctx context.Context, ends, partEnds []*v1.ReplicaEnd) (quarantined [][]byte, err error) {
	if err := l.simulateCall(ctx); err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.partEnds = append(l.partEnds, partEnds...)
	for _, end := range ends {
		signature, _ := quarantine.SignatureFromBytes(end.Signature)
		l.ledger.RecordCrash(signature, end.Replica)
		if l.ledger.IsQuarantined(signature) {
			quarantined = append(quarantined, end.Signature)
		}
	}
	return quarantined, nil
}

func (l *testLeader) BeginTrial(ctx context.Context, _ []byte) (granted bool, err error) {
	if err := l.simulateCall(ctx); err != nil {
		return false, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.trials++
	return l.trials <= l.granted, nil
}

func (l *testLeader) ReleaseRequest(ctx context.Context, bytes []byte) error {
	if err := l.simulateCall(ctx); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	signature, _ := quarantine.SignatureFromBytes(bytes)
	l.released = append(l.released, signature)
	return nil
}

func (l *testLeader) setSilent(silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = silent
}

// crashes returns how many replica crashes under a request were reported to the leader.
func (l *testLeader) crashes(signature quarantine.Signature) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if suspect := l.ledger.Suspect(signature); suspect != nil {
		return len(suspect.Replicas)
	}
	return 0
}

// noObserver ignores all events.
type noObserver struct{}

func (noObserver) ReplicaCrashed(string, int)              {}
func (noObserver) RequestQuarantined(quarantine.Signature) {}
func (noObserver) LeaderCallFailed(error)                  {}

// testGuard is a Guard with its leader and the configured probe results.
type testGuard struct {
	*Guard
	leader       *testLeader
	mutex        sync.Mutex
	probeResults map[string]ProbeResult
	probes       int
}

// withGuard runs a test with a Guard in virtual time.
func withGuard(t *testing.T, test func(t *testing.T, guard *testGuard)) {
	synctest.Test(t, func(t *testing.T) {
		guard := &testGuard{leader: &testLeader{ledger: quarantine.NewLedger()}, probeResults: map[string]ProbeResult{}}
		origin := time.Now()
		guard.Guard = New(Options{
			Leader: guard.leader, Observer: noObserver{}, Now: func() time.Duration { return time.Since(origin) },
			Probe: func(_ context.Context, replica Replica) ProbeResult {
				time.Sleep(time.Millisecond)
				guard.mutex.Lock()
				defer guard.mutex.Unlock()
				guard.probes++
				return guard.probeResults[replica.ID]
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go guard.Run(ctx)
		test(t, guard)
		time.Sleep(2 * time.Second) // lets pending calls end
		cancel()
		synctest.Wait()
	})
}

func (g *testGuard) setProbeResult(replica string, result ProbeResult) Replica {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.probeResults[replica] = result
	return Replica{ID: replica}
}

var (
	crashing = quarantine.SignatureOf("", "POST", "/", []byte("ends its back end"))
	sound    = quarantine.SignatureOf("", "POST", "/", []byte("is sound"))
)

func TestThresholdCrashQuarantinesRequest(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		for number := 1; number < quarantine.QuarantineThreshold; number++ {
			require.False(t, guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult(fmt.Sprint(number), ProbeGone), time.Second))
		}
		require.True(t, guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("last", ProbeGone), time.Second))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
		require.Equal(t, Allowed, guard.Admit(t.Context(), quarantine.Content{Request: sound}))
	})
}

// Crashes reported by other nodes count together with those of this node.
func TestCrashesOfOtherNodesCount(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		for replica := range uint64(quarantine.QuarantineThreshold - 1) {
			guard.leader.ledger.RecordCrash(crashing, replica)
		}
		require.True(t, guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("here", ProbeGone), time.Second))
	})
}

// A broken connection alone does not prove a crash: connections are reset and responses lost on working back ends.
func TestBrokenConnectionsOfSoundBackEndsDoNotCount(t *testing.T) {
	for name, result := range map[string]ProbeResult{"it serves": ProbeServing, "the network path is cut": ProbeUnclear} {
		t.Run(name, func(t *testing.T) {
			withGuard(t, func(t *testing.T, guard *testGuard) {
				for number := range 10 {
					require.False(t, guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult(fmt.Sprint(number), result), time.Second))
				}
				require.Zero(t, guard.leader.crashes(crashing))
				require.Equal(t, Allowed, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
			})
		})
	}
}

// A crash is detected later if the machine does not answer, or if the back end restarted before the probe: another
// incarnation then has its address.
func TestCrashIsDetectedLater(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("one", ProbeUnclear), time.Second)
		guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("two", ProbeServing), time.Second)
		guard.RecordSilentRun(quarantine.Content{Request: crashing}, "three")
		guard.RecordSilentRun(quarantine.Content{Request: crashing}, "four")
		for _, replica := range []string{"one", "two", "three"} {
			guard.RecordCrash(replica)
			guard.RecordCrash(replica)
		}
		guard.RecordCrash("unknown")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 3, guard.leader.crashes(crashing))
		require.True(t, guard.IsQuarantined(quarantine.Content{Request: crashing}))
		guard.RecordSilentRun(quarantine.Content{Request: sound}, "three")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, guard.leader.crashes(sound), "it ran on a crashed back end and was detected later")
		time.Sleep(brokenRunRetention)
		guard.RecordCrash("four")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 3, guard.leader.crashes(crashing), "the run broke too long ago")
	})
}

// All runs that break when one back end crashes share one probe and count once each.
func TestOneProbeServesAllBrokenRuns(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		replica := guard.setProbeResult("one", ProbeGone)
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() { guard.RecordBrokenRun(quarantine.Content{Request: crashing}, replica, time.Second) })
			running.Go(func() { guard.RecordBrokenRun(quarantine.Content{Request: sound}, replica, time.Second) })
		}
		running.Wait()
		require.Equal(t, 1, guard.probes)
		require.Equal(t, 1, guard.leader.crashes(crashing))
		require.Equal(t, 1, guard.leader.crashes(sound))
		require.False(t, guard.IsQuarantined(quarantine.Content{Request: crashing}))
		serving := guard.setProbeResult("two", ProbeServing)
		for range 20 {
			guard.RecordBrokenRun(quarantine.Content{Request: crashing}, serving, time.Second)
		}
		require.Equal(t, 2, guard.probes, "a back end that was found serving is not probed again immediately")
	})
}

// While no controller answers, a node quarantines based on its own observations and reports them later.
func TestNodeQuarantinesWithoutLeader(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.leader.setSilent(true)
		began := time.Now()
		for number := range quarantine.QuarantineThreshold {
			guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult(fmt.Sprint(number), ProbeGone), 300*time.Millisecond)
		}
		require.True(t, guard.IsQuarantined(quarantine.Content{Request: crashing}))
		require.LessOrEqual(t, time.Since(began), time.Duration(quarantine.QuarantineThreshold)*300*time.Millisecond, "no caller waits long")
		guard.leader.setSilent(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, quarantine.QuarantineThreshold, guard.leader.crashes(crashing))
		time.Sleep(localQuarantineTime)
		require.False(t, guard.IsQuarantined(quarantine.Content{Request: crashing}), "no controller quarantines it")
	})
}

func TestTrialIsRequestedOnce(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.leader.granted = 1
		guard.ApplyQuarantine(Statement{Version: 7, Requests: []*v1.HeldRequest{{Signature: crashing[:]}, {Signature: []byte("short")}}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
		require.Zero(t, guard.leader.trials, "none is due")
		guard.ApplyQuarantine(Statement{Version: 8, Requests: []*v1.HeldRequest{{Signature: crashing[:], TrialDue: true}}})
		require.Equal(t, Trial, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
		require.Equal(t, 1, guard.leader.trials)
		guard.ApplyQuarantine(Statement{Version: 9, Requests: []*v1.HeldRequest{{Signature: crashing[:], TrialDue: true}}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), quarantine.Content{Request: crashing}), "the trial was granted to another node")
		guard.leader.setSilent(true)
		guard.ApplyQuarantine(Statement{Version: 10, Requests: []*v1.HeldRequest{{Signature: crashing[:], TrialDue: true}}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), quarantine.Content{Request: crashing}), "the leader did not answer")
	})
}

func TestSuccessfulRunReleasesRequest(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.ApplyQuarantine(Statement{Version: 7, Requests: []*v1.HeldRequest{{Signature: crashing[:]}}})
		guard.leader.setSilent(true)
		guard.RecordSuccess(quarantine.Content{Request: crashing})
		require.Equal(t, Allowed, guard.Admit(t.Context(), quarantine.Content{Request: crashing}))
		time.Sleep(2 * time.Second)
		guard.leader.setSilent(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, []quarantine.Signature{crashing}, guard.leader.released)
		guard.ApplyQuarantine(Statement{Version: 9})
		require.Zero(t, guard.QuarantinedCount())
	})
}

// A popular page that was served moments ago must not be quarantined because a whole rack failed.
func TestRequestsThatRunWellAreNotSuspected(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.RecordSuccess(quarantine.Content{Request: sound})
		for number := range 5 {
			require.False(t, guard.RecordBrokenRun(quarantine.Content{Request: sound}, guard.setProbeResult(fmt.Sprint(number), ProbeGone), time.Second))
		}
		require.Zero(t, guard.leader.crashes(sound))
		time.Sleep(successRetention)
		guard.RecordBrokenRun(quarantine.Content{Request: sound}, guard.setProbeResult("late", ProbeGone), time.Second)
		require.Equal(t, 1, guard.leader.crashes(sound), "the last success is too old")
	})
}

func TestGuardMemoryIsBounded(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.leader.setSilent(true)
		for number := range 3 * maximumEntries {
			signature := quarantine.SignatureOf("", "", fmt.Sprint(number), nil)
			guard.RecordSilentRun(quarantine.Content{Request: signature}, "one")
			guard.RecordSilentRun(quarantine.Content{Request: signature}, fmt.Sprint("replica ", number))
			guard.RecordCrash(fmt.Sprint("replica ", number))
			guard.RecordSuccess(quarantine.Content{Request: signature})
		}
		require.LessOrEqual(t, len(guard.replicaStates()["one"].brokenRuns), maximumBrokenRuns)
		require.LessOrEqual(t, len(guard.unreported), maximumUnreported)
		require.LessOrEqual(t, len(guard.successes.values), maximumEntries)
		require.LessOrEqual(t, len(guard.crashes.values), maximumEntries)
		time.Sleep(2 * brokenRunRetention)
		guard.RecordSilentRun(quarantine.Content{Request: crashing}, "two")
		require.Len(t, guard.replicaStates(), 1)
		guard.leader.setSilent(false)
	})
}

// replicaStates returns the stored back ends.
func (g *testGuard) replicaStates() map[string]*replicaState { return g.Guard.replicas }

func TestReplicasAreIdentifiedByIncarnation(t *testing.T) {
	withGuard(t, func(t *testing.T, guard *testGuard) {
		guard.RecordBrokenRun(quarantine.Content{Request: crashing}, guard.setProbeResult("one", ProbeGone), time.Second)
		require.Equal(t, []uint64{xxhash.Sum64String("one")}, guard.leader.ledger.Suspect(crashing).Replicas)
	})
}
