package quarantine

import "time"

// trialWaits are the durations of the quarantine before the first trial and after each further one; the last one repeats. A
// request that was quarantined by coincidence is served again within seconds. One that crashes replicas costs three of them in
// its first minutes, and later one per hour.
var trialWaits = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}

// partTrialWaits are the same for parts of prompts. A part that crashes replicas costs three of them in the first minutes, as many
// as the users allow, and further ones are rare.
var partTrialWaits = []time.Duration{3 * time.Second, 10 * time.Second, time.Minute, 12 * time.Hour}

const (
	// suspectRetention is how long a request that is not quarantined is stored without a further replica crash.
	suspectRetention = 10 * time.Minute
	// quarantineRetention is how long a quarantined request is stored without a further crash or trial.
	quarantineRetention = 24 * time.Hour
)

// TrialScheduler records on the leader since when the entry of each request in the ledger has been unchanged. Times are
// durations since an origin and must not decrease. A new leader starts without observations, so all waits begin again.
type TrialScheduler struct {
	observations map[Signature]observation
	// ledger and version identify the state that was observed last.
	ledger  *Ledger
	version uint64
}

// observation is the observed state of a request and the time since which it has been unchanged.
type observation struct {
	replicas int
	trials   uint32
	since    time.Duration
}

// NewTrialScheduler returns the TrialScheduler of a new leader.
func NewTrialScheduler() *TrialScheduler {
	return &TrialScheduler{observations: map[Signature]observation{}}
}

// Observe records which entries of the ledger have changed since the last call.
func (s *TrialScheduler) Observe(now time.Duration, ledger *Ledger) {
	if s.ledger == ledger && s.version == ledger.Version() && len(s.observations) == len(ledger.Suspects()) {
		return
	}
	s.ledger, s.version = ledger, ledger.Version()
	observations := make(map[Signature]observation, len(ledger.Suspects()))
	for _, suspect := range ledger.Suspects() {
		previous, known := s.observations[suspect.Signature]
		if !known || previous.replicas != len(suspect.Replicas) || previous.trials != suspect.Trials {
			previous = observation{replicas: len(suspect.Replicas), trials: suspect.Trials, since: now}
		}
		observations[suspect.Signature] = previous
	}
	s.observations = observations
}

// TrialDue reports whether a quarantined request or part has waited long enough for its next trial.
func (s *TrialScheduler) TrialDue(now time.Duration, suspect *Suspect) bool {
	wait, known := s.WaitForTrial(now, suspect)
	return known && wait == 0
}

// WaitForTrial returns the time until the next trial of a quarantined request or part; false if it is not quarantined or was not
// observed.
func (s *TrialScheduler) WaitForTrial(now time.Duration, suspect *Suspect) (wait time.Duration, known bool) {
	observed, known := s.observations[suspect.Signature]
	if !known || !suspect.IsQuarantined() {
		return 0, false
	}
	return max(observed.since+waitBeforeTrial(suspect)-now, 0), true
}

// waitBeforeTrial returns the duration of the quarantine before the next trial.
func waitBeforeTrial(suspect *Suspect) time.Duration {
	waits := trialWaits
	if suspect.Signature.IsPart() {
		waits = partTrialWaits
	}
	return waits[min(int(suspect.grantedTrials()), len(waits)-1)]
}

// ExpiredEntries returns the requests and parts that no longer need to be stored.
func (s *TrialScheduler) ExpiredEntries(now time.Duration, ledger *Ledger) []Signature {
	var expired []Signature
	for _, suspect := range ledger.Suspects() {
		limit := suspectRetention
		if suspect.IsQuarantined() {
			limit = quarantineRetention
		}
		if observed, known := s.observations[suspect.Signature]; known && now-observed.since >= limit {
			expired = append(expired, suspect.Signature)
		}
	}
	return expired
}
