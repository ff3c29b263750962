package quarantine

import "time"

// trialWaits are the times for which a request is held before its first trial and after each further
// one; the last holds from then on. A request that replicas broke off by bad luck is served within
// seconds; one that ends replicas costs three of them in its first minutes, and one an hour later on.
var trialWaits = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}

const (
	// forgetSuspect is how long a request is remembered that is not held and under which no further
	// replica ends.
	forgetSuspect = 10 * time.Minute
	// forgetHeld is likewise for a request that is held and does not come again.
	forgetHeld = 24 * time.Hour
)

// TrialScheduler is what the leader keeps beside the ledger: since when each request is as it is. Its times are
// durations since an origin that never go back. A new leader knows none of them, and waits anew.
type TrialScheduler struct {
	seen map[Signature]observed
	// ledger is what was observed last, in its version.
	ledger  *Ledger
	version uint64
}

// observed is a request as the leader saw it last, and since when it is so.
type observed struct {
	replicas int
	trials   uint32
	since    time.Duration
}

// NewTrialScheduler returns the keeper of a leader that begins.
func NewTrialScheduler() *TrialScheduler { return &TrialScheduler{seen: map[Signature]observed{}} }

// Observe takes what the ledger holds.
func (k *TrialScheduler) Observe(now time.Duration, ledger *Ledger) {
	if k.ledger == ledger && k.version == ledger.Version() && len(k.seen) == len(ledger.Suspects()) {
		return
	}
	k.ledger, k.version = ledger, ledger.Version()
	seen := make(map[Signature]observed, len(ledger.Suspects()))
	for _, suspect := range ledger.Suspects() {
		before, known := k.seen[suspect.Signature]
		if !known || before.replicas != len(suspect.Replicas) || before.trials != suspect.Trials {
			before = observed{replicas: len(suspect.Replicas), trials: suspect.Trials, since: now}
		}
		seen[suspect.Signature] = before
	}
	k.seen = seen
}

// TrialDue reports whether a held request may be tried once more.
func (k *TrialScheduler) TrialDue(now time.Duration, suspect *Suspect) bool {
	before, known := k.seen[suspect.Signature]
	return known && suspect.IsQuarantined() && now-before.since >= waitAfter(suspect.Trials)
}

// waitAfter is the time for which a request is held after so many trials.
func waitAfter(trials uint32) time.Duration {
	return trialWaits[min(int(trials), len(trialWaits)-1)]
}

// ExpiredEntries returns the requests that need not be remembered any longer.
func (k *TrialScheduler) ExpiredEntries(now time.Duration, ledger *Ledger) []Signature {
	var forgettable []Signature
	for _, suspect := range ledger.Suspects() {
		limit := forgetSuspect
		if suspect.IsQuarantined() {
			limit = forgetHeld
		}
		if before, known := k.seen[suspect.Signature]; known && now-before.since >= limit {
			forgettable = append(forgettable, suspect.Signature)
		}
	}
	return forgettable
}
