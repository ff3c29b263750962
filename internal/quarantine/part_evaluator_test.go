package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partScene is a leader's ledger and evaluator in virtual time.
type partScene struct {
	ledger    *Ledger
	evaluator *PartEvaluator
	now       time.Duration
}

func newPartScene() *partScene {
	return &partScene{ledger: NewLedger(), evaluator: NewPartEvaluator(), now: time.Second}
}

// part returns the signature of a named part.
func part(name string) Signature { return PartSignatureOf("tenant", name) }

// crash records that a replica crashed while it ran requests with the named parts.
func (s *partScene) crash(replica uint64, parts ...string) {
	for _, name := range parts {
		s.ledger.RecordCrash(part(name), replica)
	}
	s.observe(0)
}

// testify records that a request with a part ran soundly the given time ago, and releases the part if that clears it.
func (s *partScene) testify(name string, ago time.Duration) {
	if s.evaluator.RecordSoundPart(s.now, part(name), ago) {
		s.ledger.Release(part(name))
	}
	s.evaluator.RecordSoundRuns(1)
}

// observe lets time pass, and quarantines what is due as the leader does.
func (s *partScene) observe(after time.Duration) {
	s.now += after
	for confirmed := s.evaluator.Observe(s.now, s.ledger); len(confirmed) > 0; confirmed = s.evaluator.Observe(s.now, s.ledger) {
		for _, signature := range confirmed {
			s.ledger.GrantTrial(signature, 0)
		}
	}
}

// requireQuarantined checks which of the parts are quarantined.
func (s *partScene) requireQuarantined(t *testing.T, quarantined []string, free ...string) {
	t.Helper()
	for _, name := range quarantined {
		require.True(t, s.ledger.IsQuarantined(part(name)), name)
	}
	for _, name := range free {
		require.False(t, s.ledger.IsQuarantined(part(name)), name)
	}
}

// Guards against a part that crashes each replica and is never kept away, because each request with it is new.
func TestPartThatWasNeverSoundIsQuarantinedAfterThreeCrashes(t *testing.T) {
	s := newPartScene()
	for replica := range uint64(PartThreshold) {
		s.requireQuarantined(t, nil, "deadly")
		s.crash(replica, "deadly")
	}
	s.observe(confirmationDelay - time.Millisecond)
	s.requireQuarantined(t, nil, "deadly")
	s.observe(time.Millisecond)
	s.requireQuarantined(t, []string{"deadly"})
}

// Guards against a system prompt that is kept away because it was in all the requests with a deadly part.
func TestCrashIsExplainedByThePartThatCausedIt(t *testing.T) {
	s := newPartScene()
	s.crash(1, "system", "deadly", "document")
	s.testify("system", 5*time.Second)
	s.testify("document", 5*time.Second)
	for replica := range uint64(9) {
		s.crash(2+replica, "system", "deadly")
		s.observe(100 * time.Millisecond)
	}
	s.observe(2 * confirmationDelay)
	s.requireQuarantined(t, []string{"deadly"}, "system", "document")
	for range 3 * requiredOtherRuns {
		s.testify("other", 0)
	}
	s.observe(2 * confirmationDelay)
	s.requireQuarantined(t, []string{"deadly"}, "system", "document")
	require.Len(t, s.ledger.SuspectParts(), 1, "nodes are not asked for parts whose crashes are explained")
}

// Guards against parts that are kept away after crashes by chance: a request with them runs soundly afterwards.
func TestSoundRunClearsAPart(t *testing.T) {
	s := newPartScene()
	for replica := range uint64(2) {
		s.crash(replica, "shared")
	}
	s.observe(100 * time.Millisecond)
	s.testify("shared", 50*time.Millisecond)
	for replica := range uint64(2) {
		s.crash(10+replica, "shared")
	}
	s.observe(10 * time.Minute)
	s.requireQuarantined(t, nil, "shared")
}

// Guards against a part that was sound, crashes replicas from some time on, and is never kept away.
func TestPartThatWasSoundIsQuarantinedAfterFiveCrashes(t *testing.T) {
	s := newPartScene()
	s.crash(0, "turned")
	s.testify("turned", time.Minute)
	for replica := range uint64(SoundPartThreshold - 1) {
		s.observe(2 * confirmationDelay)
		s.requireQuarantined(t, nil, "turned")
		s.crash(1+replica, "turned")
	}
	s.observe(2 * confirmationDelay)
	s.requireQuarantined(t, nil, "turned")
	for range requiredOtherRuns {
		s.testify("other", 0)
	}
	s.observe(0)
	s.requireQuarantined(t, []string{"turned"})
}

// Guards against a zone or a service that loses power, after which what all prompts share is kept away: while nothing runs, nothing
// can clear a part.
func TestPartsThatWereSoundStayFreeWhileNothingRuns(t *testing.T) {
	s := newPartScene()
	s.crash(0, "system")
	s.testify("system", time.Second)
	for replica := range uint64(100) {
		s.crash(1+replica, "system")
	}
	s.observe(time.Minute)
	s.requireQuarantined(t, nil, "system")
	for range requiredOtherRuns - 1 {
		s.testify("other", 0)
	}
	s.testify("system", 0)
	s.observe(time.Minute)
	s.requireQuarantined(t, nil, "system")
}

// Guards against the second of two deadly parts that is hidden behind the first one.
func TestTwoDeadlyPartsAtATimeAreBothQuarantined(t *testing.T) {
	s := newPartScene()
	for replica := range uint64(3) {
		s.crash(2*replica, "one", "system")
		s.crash(2*replica+1, "two", "system")
	}
	s.testify("system", time.Second)
	s.observe(confirmationDelay)
	s.requireQuarantined(t, []string{"one", "two"}, "system")
}

func TestReleasedPartIsHeardAnew(t *testing.T) {
	s := newPartScene()
	for replica := range uint64(3) {
		s.crash(replica, "part")
	}
	s.observe(confirmationDelay)
	s.requireQuarantined(t, []string{"part"})
	s.testify("part", 0)
	s.observe(0)
	require.Empty(t, s.ledger.Suspects())
	require.Empty(t, s.evaluator.evaluations)
	require.False(t, s.evaluator.RecordSoundPart(s.now, part("part"), 0), "it is not suspected any more")
}

func TestTrialsOfPartsBecomeRare(t *testing.T) {
	s, trials := newPartScene(), NewTrialScheduler()
	for replica := range uint64(3) {
		s.crash(replica, "part")
	}
	s.observe(confirmationDelay)
	suspect := s.ledger.Suspect(part("part"))
	granted := 0
	for ; s.now < 11*time.Hour; s.now += 500 * time.Millisecond {
		trials.Observe(s.now, s.ledger)
		if trials.TrialDue(s.now, suspect) && s.ledger.GrantTrial(suspect.Signature, suspect.Trials) {
			granted++
			s.ledger.RecordCrash(suspect.Signature, uint64(100+granted))
		}
	}
	require.Equal(t, 3, granted, "the users allow three")
	require.Empty(t, trials.ExpiredEntries(s.now, s.ledger))
	s.now += 2 * time.Hour
	require.True(t, trials.TrialDue(s.now, suspect), "a part that crashed replicas by chance is tried again")
}

// Guards against parts that fill the ledger when a zone fails, so that quarantined requests are forgotten.
func TestPartsLeaveRoomForRequests(t *testing.T) {
	ledger := NewLedger()
	for replica := range uint64(2) {
		ledger.RecordCrash(numberedSignature(1), replica)
	}
	for replica := range uint64(3) {
		ledger.RecordCrash(part("deadly"), replica)
	}
	require.True(t, ledger.GrantTrial(part("deadly"), 0))
	for replica := range uint64(2) {
		ledger.RecordCrash(part("crashed twice"), replica)
	}
	for batch := range 40 {
		var reported []Signature
		for number := range 100 {
			reported = append(reported, part(string(rune('a'+batch))+string(rune(1000+number))))
		}
		admitted, removed := ledger.MakeRoomForParts(reported)
		for _, signature := range removed {
			ledger.Release(signature)
		}
		for _, signature := range admitted {
			ledger.RecordCrash(signature, uint64(1000+batch))
		}
		require.Len(t, admitted, 100)
		require.LessOrEqual(t, len(ledger.Suspects()), MaximumParts+1)
	}
	require.True(t, ledger.IsQuarantined(numberedSignature(1)))
	require.True(t, ledger.IsQuarantined(part("deadly")))
	require.NotNil(t, ledger.Suspect(part("crashed twice")), "parts with fewer crashes give way first")
}

// Guards against controllers whose states differ: the commands of parts have the same effect in builds that take them for requests.
func TestLedgerTreatsPartsLikeRequests(t *testing.T) {
	parts, requests := NewLedger(), NewLedger()
	apply := func(change func(ledger *Ledger, signature Signature) any) {
		require.Equal(t, change(requests, numberedSignature(1)), change(parts, part("one")))
	}
	record := func(replica uint64) func(*Ledger, Signature) any {
		return func(ledger *Ledger, signature Signature) any { ledger.RecordCrash(signature, replica); return nil }
	}
	grant := func(before uint32) func(*Ledger, Signature) any {
		return func(ledger *Ledger, signature Signature) any { return ledger.GrantTrial(signature, before) }
	}
	for _, change := range []func(*Ledger, Signature) any{grant(0), record(1), grant(0), record(1), record(2), grant(0), grant(0), grant(1), record(3), grant(2)} {
		apply(change)
		require.Equal(t, requests.quarantinedCount, parts.quarantinedCount)
		require.Equal(t, len(requests.suspects), len(parts.suspects))
		if len(parts.suspects) == 1 {
			require.Equal(t, requests.suspects[0].Replicas, parts.suspects[0].Replicas)
			require.Equal(t, requests.suspects[0].Trials, parts.suspects[0].Trials)
		}
	}
	apply(func(ledger *Ledger, signature Signature) any {
		ledger.Release(signature)
		return ledger.quarantinedCount
	})
}
