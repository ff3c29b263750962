package quarantine

import "time"

const (
	// PartThreshold is the number of replicas that must crash under a part before it is quarantined. Requests share parts, so
	// that it is higher than for requests.
	PartThreshold = 3
	// SoundPartThreshold is the same for a part with which requests ran soundly before its first crash. The users allow
	// five crashes.
	SoundPartThreshold = 5
	// confirmationDelay is how long a part must have had enough crashes before it is quarantined. Meanwhile all nodes are asked
	// whether requests with it run soundly.
	confirmationDelay = 1200 * time.Millisecond
	// requiredOtherRuns is the number of sound runs with other parts that must be reported meanwhile before a part is quarantined that
	// was sound before. While no replica serves, nothing could clear it.
	requiredOtherRuns = 10
)

// PartEvaluator decides on the leader which suspected parts are quarantined. It exists only there; a new leader collects the
// reports of all nodes again. Times are durations since an origin and must not decrease.
type PartEvaluator struct {
	evaluations map[Signature]*evaluation
	// soundRuns counts the sound runs that nodes have reported.
	soundRuns uint64
}

// evaluation is what is known about one suspected part.
type evaluation struct {
	// firstCrashAt is when the first of its crashes was observed.
	firstCrashAt time.Duration
	// wasSound is true if a request with the part ran soundly before the first crash.
	wasSound bool
	// hasReached is true while the part has enough crashes, since reachedAt, when soundRunsAtStart sound runs were reported.
	hasReached       bool
	reachedAt        time.Duration
	soundRunsAtStart uint64
}

// NewPartEvaluator returns the PartEvaluator of a new leader.
func NewPartEvaluator() *PartEvaluator {
	return &PartEvaluator{evaluations: map[Signature]*evaluation{}}
}

// RecordSoundRuns records that nodes have reported this number of sound runs.
func (e *PartEvaluator) RecordSoundRuns(count uint32) { e.soundRuns += uint64(count) }

// RecordSoundPart records that a request with a suspected part ran soundly until the given time ago. It reports whether that clears
// the part: the run ended after its first crash.
func (e *PartEvaluator) RecordSoundPart(now time.Duration, part Signature, ago time.Duration) (isCleared bool) {
	current := e.evaluations[part]
	if current == nil {
		return false
	}
	if now-ago > current.firstCrashAt {
		return true
	}
	current.wasSound = true
	return false
}

// Observe updates the evaluations from the ledger, and returns the parts that are to be quarantined now: of those that have had enough
// crashes for long enough, the ones with the most crashes that no quarantined part explains. Others may follow once these are.
func (e *PartEvaluator) Observe(now time.Duration, ledger *Ledger) []Signature {
	e.removeReleased(ledger)
	attribution := newAttribution(ledger)
	var confirmed []Signature
	highest := 0
	for _, suspect := range ledger.Suspects() {
		if !suspect.Signature.IsPart() || suspect.IsQuarantined() {
			continue
		}
		crashes := attribution.crashes(suspect)
		if !e.update(now, suspect.Signature, crashes) || crashes < highest {
			continue
		}
		if crashes > highest {
			highest, confirmed = crashes, nil
		}
		confirmed = append(confirmed, suspect.Signature)
	}
	return confirmed
}

// update updates the evaluation of a part with the given number of crashes. It reports whether the part has had enough of them for long
// enough.
func (e *PartEvaluator) update(now time.Duration, part Signature, crashes int) bool {
	current := e.evaluations[part]
	if current == nil {
		current = &evaluation{firstCrashAt: now}
		e.evaluations[part] = current
	}
	threshold := PartThreshold
	if current.wasSound {
		threshold = SoundPartThreshold
	}
	if crashes < threshold {
		current.hasReached = false
		return false
	}
	if !current.hasReached {
		current.hasReached, current.reachedAt, current.soundRunsAtStart = true, now, e.soundRuns
	}
	hasOpportunity := !current.wasSound || e.soundRuns-current.soundRunsAtStart >= requiredOtherRuns
	return hasOpportunity && now-current.reachedAt >= confirmationDelay
}

// removeReleased removes the evaluations of parts that the ledger does not contain any more.
func (e *PartEvaluator) removeReleased(ledger *Ledger) {
	for part := range e.evaluations {
		if ledger.Suspect(part) == nil {
			delete(e.evaluations, part)
		}
	}
}
