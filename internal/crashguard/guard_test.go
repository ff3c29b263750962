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

// testLeader holds requests as the controllers do, and answers when it is not silent.
type testLeader struct {
	mutex    sync.Mutex
	ledger   *quarantine.Ledger
	silent   bool
	trials   int
	granted  int
	released []quarantine.Signature
}

var errSilent = errors.New("no controller answers")

// await stands for a call's way and work.
func (l *testLeader) await(ctx context.Context) error {
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

func (l *testLeader) ReportReplicaEnds(ctx context.Context, ends []*v1.ReplicaEnd) (held [][]byte, err error) {
	if err := l.await(ctx); err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, end := range ends {
		signature, _ := quarantine.SignatureFromBytes(end.Signature)
		l.ledger.RecordCrash(signature, end.Replica)
		if l.ledger.IsQuarantined(signature) {
			held = append(held, end.Signature)
		}
	}
	return held, nil
}

func (l *testLeader) BeginTrial(ctx context.Context, _ []byte) (granted bool, err error) {
	if err := l.await(ctx); err != nil {
		return false, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.trials++
	return l.trials <= l.granted, nil
}

func (l *testLeader) ReleaseRequest(ctx context.Context, bytes []byte) error {
	if err := l.await(ctx); err != nil {
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

// ends is how many replicas have ended under a request, as the leader was told.
func (l *testLeader) ends(signature quarantine.Signature) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if suspect := l.ledger.Suspect(signature); suspect != nil {
		return len(suspect.Replicas)
	}
	return 0
}

// nobody observes nothing.
type nobody struct{}

func (nobody) ReplicaCrashed(string, int)              {}
func (nobody) RequestQuarantined(quarantine.Signature) {}
func (nobody) LeaderCallFailed(error)                  {}

// testGuard is a Guard with its leader, and what looks at back ends show.
type testGuard struct {
	*Guard
	leader *testLeader
	mutex  sync.Mutex
	sights map[string]ProbeResult
	looks  int
}

// inBubble runs a test with a Guard in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, guard *testGuard)) {
	synctest.Test(t, func(t *testing.T) {
		made := &testGuard{leader: &testLeader{ledger: quarantine.NewLedger()}, sights: map[string]ProbeResult{}}
		origin := time.Now()
		made.Guard = New(Options{
			Leader: made.leader, Observer: nobody{}, Now: func() time.Duration { return time.Since(origin) },
			Probe: func(_ context.Context, replica Replica) ProbeResult {
				time.Sleep(time.Millisecond)
				made.mutex.Lock()
				defer made.mutex.Unlock()
				made.looks++
				return made.sights[replica.ID]
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go made.Run(ctx)
		test(t, made)
		time.Sleep(2 * time.Second) // lets calls under way end
		cancel()
		synctest.Wait()
	})
}

func (g *testGuard) show(replica string, sight ProbeResult) Replica {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sights[replica] = sight
	return Replica{ID: replica}
}

var (
	ending  = quarantine.SignatureOf("", "POST", "/", []byte("ends its back end"))
	another = quarantine.SignatureOf("", "POST", "/", []byte("is sound"))
)

func TestTheThirdEndHoldsARequestBeforeItGoesOn(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		for number := 1; number < quarantine.QuarantineThreshold; number++ {
			require.False(t, guard.RecordBrokenRun(ending, guard.show(fmt.Sprint(number), ProbeGone), time.Second))
		}
		require.True(t, guard.RecordBrokenRun(ending, guard.show("last", ProbeGone), time.Second))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), ending))
		require.Equal(t, Allowed, guard.Admit(t.Context(), another))
	})
}

// What other nodes saw counts with what this one sees.
func TestEndsOfOtherNodesCount(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		for replica := range uint64(quarantine.QuarantineThreshold - 1) {
			guard.leader.ledger.RecordCrash(ending, replica)
		}
		require.True(t, guard.RecordBrokenRun(ending, guard.show("here", ProbeGone), time.Second))
	})
}

// A connection that broke tells nothing of its back end: links are reset, answers lost.
func TestBrokenConnectionsOfSoundBackEndsDoNotCount(t *testing.T) {
	for name, sight := range map[string]ProbeResult{"it serves": ProbeServing, "the way there is cut": ProbeUnclear} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, guard *testGuard) {
				for number := range 10 {
					require.False(t, guard.RecordBrokenRun(ending, guard.show(fmt.Sprint(number), sight), time.Second))
				}
				require.Zero(t, guard.leader.ends(ending))
				require.Equal(t, Allowed, guard.Admit(t.Context(), ending))
			})
		})
	}
}

// A back end whose machine has gone silent, or that was back before anybody looked, is seen to have
// ended once another start has its address.
func TestAnEndIsSeenLater(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.RecordBrokenRun(ending, guard.show("one", ProbeUnclear), time.Second)
		guard.RecordBrokenRun(ending, guard.show("two", ProbeServing), time.Second)
		guard.RecordSilentRun(ending, "three")
		guard.RecordSilentRun(ending, "four")
		for _, replica := range []string{"one", "two", "three"} {
			guard.RecordCrash(replica)
			guard.RecordCrash(replica)
		}
		guard.RecordCrash("unknown")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 3, guard.leader.ends(ending))
		require.True(t, guard.IsQuarantined(ending))
		guard.RecordSilentRun(another, "three")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, guard.leader.ends(another), "it ran there, and was slower to be noticed")
		time.Sleep(breakMemory)
		guard.RecordCrash("four")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 3, guard.leader.ends(ending), "the run broke long before")
	})
}

// All runs that break at the end of one back end cost one look and count once each.
func TestOneLookServesAllRunsThatBrokeThere(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		replica := guard.show("one", ProbeGone)
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() { guard.RecordBrokenRun(ending, replica, time.Second) })
			running.Go(func() { guard.RecordBrokenRun(another, replica, time.Second) })
		}
		running.Wait()
		require.Equal(t, 1, guard.looks)
		require.Equal(t, 1, guard.leader.ends(ending))
		require.Equal(t, 1, guard.leader.ends(another))
		require.False(t, guard.IsQuarantined(ending))
		serving := guard.show("two", ProbeServing)
		for range 20 {
			guard.RecordBrokenRun(ending, serving, time.Second)
		}
		require.Equal(t, 2, guard.looks, "a back end that was seen to serve is not looked at again at once")
	})
}

// While no controller answers, a node goes by what it has seen itself, and tells it later.
func TestWithoutALeaderANodeHoldsByItself(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.leader.setSilent(true)
		began := time.Now()
		for number := range quarantine.QuarantineThreshold {
			guard.RecordBrokenRun(ending, guard.show(fmt.Sprint(number), ProbeGone), 300*time.Millisecond)
		}
		require.True(t, guard.IsQuarantined(ending))
		require.LessOrEqual(t, time.Since(began), time.Duration(quarantine.QuarantineThreshold)*300*time.Millisecond, "nobody waits for long")
		guard.leader.setSilent(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, quarantine.QuarantineThreshold, guard.leader.ends(ending))
		time.Sleep(localHold)
		require.False(t, guard.IsQuarantined(ending), "no controller holds it")
	})
}

func TestATrialIsAskedForOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.leader.granted = 1
		guard.ApplyQuarantine(7, []*v1.HeldRequest{{Signature: ending[:]}, {Signature: []byte("short")}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), ending))
		require.Zero(t, guard.leader.trials, "none is due")
		guard.ApplyQuarantine(8, []*v1.HeldRequest{{Signature: ending[:], TrialDue: true}})
		require.Equal(t, Trial, guard.Admit(t.Context(), ending))
		require.Equal(t, Quarantined, guard.Admit(t.Context(), ending))
		require.Equal(t, 1, guard.leader.trials)
		guard.ApplyQuarantine(9, []*v1.HeldRequest{{Signature: ending[:], TrialDue: true}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), ending), "another node was granted it")
		guard.leader.setSilent(true)
		guard.ApplyQuarantine(10, []*v1.HeldRequest{{Signature: ending[:], TrialDue: true}})
		require.Equal(t, Quarantined, guard.Admit(t.Context(), ending), "nobody has granted it")
	})
}

func TestAGoodRunReleasesARequest(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.ApplyQuarantine(7, []*v1.HeldRequest{{Signature: ending[:]}})
		guard.leader.setSilent(true)
		guard.RecordSuccess(ending)
		require.Equal(t, Allowed, guard.Admit(t.Context(), ending))
		time.Sleep(2 * time.Second)
		guard.leader.setSilent(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, []quarantine.Signature{ending}, guard.leader.released)
		guard.ApplyQuarantine(9, nil)
		require.Zero(t, guard.QuarantinedCount())
	})
}

// A page that many ask for, and that was served a moment ago, is not held because a rack went.
func TestRequestsThatRunWellAreNotSuspected(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.RecordSuccess(another)
		for number := range 5 {
			require.False(t, guard.RecordBrokenRun(another, guard.show(fmt.Sprint(number), ProbeGone), time.Second))
		}
		require.Zero(t, guard.leader.ends(another))
		time.Sleep(wellMemory)
		guard.RecordBrokenRun(another, guard.show("late", ProbeGone), time.Second)
		require.Equal(t, 1, guard.leader.ends(another), "it may do harm by now")
	})
}

func TestTheGuardIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.leader.setSilent(true)
		for number := range 3 * mostRemembered {
			signature := quarantine.SignatureOf("", "", fmt.Sprint(number), nil)
			guard.RecordSilentRun(signature, "one")
			guard.RecordSilentRun(signature, fmt.Sprint("replica ", number))
			guard.RecordCrash(fmt.Sprint("replica ", number))
			guard.RecordSuccess(signature)
		}
		require.LessOrEqual(t, len(guard.remembered()["one"].broken), mostBroken)
		require.LessOrEqual(t, len(guard.unreported), mostUnreported)
		require.LessOrEqual(t, len(guard.well.values), mostRemembered)
		require.LessOrEqual(t, len(guard.ended.values), mostRemembered)
		time.Sleep(2 * breakMemory)
		guard.RecordSilentRun(ending, "two")
		require.Len(t, guard.remembered(), 1)
		guard.leader.setSilent(false)
	})
}

// remembered are the back ends that are remembered.
func (g *testGuard) remembered() map[string]*look { return g.Guard.looks }

func TestReplicasAreNamedByTheirStart(t *testing.T) {
	inBubble(t, func(t *testing.T, guard *testGuard) {
		guard.RecordBrokenRun(ending, guard.show("one", ProbeGone), time.Second)
		require.Equal(t, []uint64{xxhash.Sum64String("one")}, guard.leader.ledger.Suspect(ending).Replicas)
	})
}
